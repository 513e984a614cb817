"""Show on which VMs the table is in force."""

from typing import ClassVar

from hyssopvane._internal.commands.status import StatusCommand


class TableStatusCommand(StatusCommand):
    """Show the table's revision on every VM; mark those that lag."""

    name = "table status"
    description = "Show on which VMs the newest table is in force."
    columns: ClassVar[dict[str, str]] = {
        "vm": "vm",
        "role": "role",
        "availability_zone": "zone",
        "revision": "revision",
        "lag": "lag",
        "in_force": "table",
    }
