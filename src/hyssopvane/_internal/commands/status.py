"""Show the status that each VM of the platform's list reports."""

from typing import Any, ClassVar
from urllib.parse import urlencode

from cleo.helpers import option

from hyssopvane._internal.cli.operator_base import OPERATOR_OPTIONS, OperatorCommand
from hyssopvane._internal.cli.status_codes import StatusCode

ZONE_OPTION = option(
    "zone", None, "Only the VMs of this availability zone.", flag=False
)

_COLUMN_GAP = "  "


class StatusCommand(OperatorCommand):
    """Show the table, the load and the state of every VM; mark those that lag."""

    name = "status"
    description = "Show the table in force, the load and the state of every VM."
    options = [*OPERATOR_OPTIONS, ZONE_OPTION]
    columns: ClassVar[dict[str, str]] = {
        "vm": "vm",
        "role": "role",
        "availability_zone": "zone",
        "listed_state": "listed",
        "revision": "revision",
        "lag": "lag",
        "in_force": "table",
        "leaving": "leaving",
        "running": "running",
    }

    def show(self) -> StatusCode:
        zone = self.option("zone")
        query = f"?{urlencode({'zone': zone})}" if zone else ""
        document = self.read_page(f"/status{query}")
        vms = document["vms"]
        for line in _format_lines(vms, self.columns):
            self.line(line)
        newest = [one for one in vms if one["in_force"] == "newest"]
        self.line("")
        self.line(
            f"revision {document['newest_revision']} in force on "
            f"{len(newest)} of {len(vms)} VMs"
        )
        return StatusCode.OK


def _format_lines(vms: list[dict[str, Any]], columns: dict[str, str]) -> list[str]:
    rows = [list(columns.values())]
    rows += [[_format_cell(vm, name) for name in columns] for vm in vms]
    widths = [max(len(row[index]) for row in rows) for index in range(len(columns))]
    lines = []
    for row, vm in zip(rows, [None, *vms], strict=True):
        cells = [text.ljust(width) for text, width in zip(row, widths, strict=True)]
        behind = vm is not None and vm["in_force"] != "newest"
        lines.append(
            ("* " if behind else _COLUMN_GAP) + _COLUMN_GAP.join(cells).rstrip()
        )
    return lines


def _format_cell(vm: dict[str, Any], name: str) -> str:
    silent = vm["in_force"] == "no answer"
    if silent and name in {"revision", "lag", "leaving", "running"}:
        return "-"
    value = vm[name]
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
