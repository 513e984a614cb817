"""Show why a request fared as it did."""

from datetime import UTC, datetime
from urllib.parse import urlencode

from cleo.helpers import argument

from hyssopvane._internal.cli.operator_base import OPERATOR_OPTIONS, OperatorCommand
from hyssopvane._internal.cli.status_codes import StatusCode
from hyssopvane._internal.exceptions import OperatorRequestError


class ExplainCommand(OperatorCommand):
    """Show the decisions about one request on all VMs that an entry reaches."""

    name = "explain"
    description = "Show why a request fared as it did."
    arguments = [argument("request", "The request id that the answer's header names.")]
    options = OPERATOR_OPTIONS

    def show(self) -> StatusCode:
        request_id = self.argument("request")
        document = self.read_page(f"/explain-all?{urlencode({'id': request_id})}")
        asked, answered = document["asked"], document["answered"]
        if not document["decisions"]:
            raise OperatorRequestError(
                f"nothing is remembered of request {request_id}",
                context=f"{answered} of {asked} processes answered",
                hint="decisions are kept for some minutes; ask an entry of the zone "
                "that answered the caller",
            )
        for one in document["decisions"]:
            at = datetime.fromtimestamp(one["at"], UTC).isoformat("T", "milliseconds")
            self.line(f"{at}  {one['vm']}  {one['decision']}  {one['why']}")
        if answered < asked:
            self.line(f"{asked - answered} of {asked} processes did not answer")
        return StatusCode.OK
