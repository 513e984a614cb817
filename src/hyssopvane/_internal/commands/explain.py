"""Show the events and decisions that led to the outcome of a request."""

from datetime import UTC, datetime
from urllib.parse import urlencode

from cleo.helpers import argument, option

from hyssopvane._internal.cli.operator_base import OPERATOR_OPTIONS, OperatorCommand
from hyssopvane._internal.cli.status_codes import StatusCode
from hyssopvane._internal.exceptions import OperatorRequestError

_EXCLUDED_FIELDS = frozenset({"time", "vm", "event", "level", "role", "request"})


class ExplainCommand(OperatorCommand):
    """Show the decisions about one request on all VMs that an entry reaches."""

    name = "explain"
    description = "Show why a request had its outcome."
    arguments = [argument("request", "The request id in the header of the answer.")]
    options = [
        *OPERATOR_OPTIONS,
        option(
            "log",
            None,
            "A file of log lines to read; - for standard input.",
            flag=False,
        ),
    ]

    def show(self) -> StatusCode:
        if self.option("log"):
            return self._show_logged(self.option("log"))
        return self._show_recorded()

    def _show_logged(self, path: str) -> StatusCode:
        """Print the log lines of a request; the log may be of several processes."""
        from hyssopvane._internal.utils.log_lines import find_request_lines

        request_id = self.argument("request")
        try:
            with open(0 if path == "-" else path, encoding="utf-8") as log:
                lines = list(find_request_lines(log, request_id))
        except (OSError, UnicodeDecodeError) as error:
            raise OperatorRequestError(
                f"the log can't be read: {error}",
                context=path,
                hint="give a text file of log lines, or - for standard input",
            ) from error
        if not lines:
            raise OperatorRequestError(
                f"no line of the log has request {request_id}",
                context=path,
                hint="read the logs of all entries for the time of the request",
            )
        for fields in lines:
            remaining = {k: v for k, v in fields.items() if k not in _EXCLUDED_FIELDS}
            pairs = " ".join(f"{name}={value}" for name, value in remaining.items())
            self.line(f"{fields['time']}  {fields['vm']}  {fields['event']}  {pairs}")
        return StatusCode.OK

    def _show_recorded(self) -> StatusCode:
        request_id = self.argument("request")
        document = self.read_page(f"/explain-all?{urlencode({'id': request_id})}")
        asked, answered = document["asked"], document["answered"]
        if not document["decisions"]:
            raise OperatorRequestError(
                f"nothing is remembered of request {request_id}",
                context=f"{answered} of {asked} processes answered",
                hint="decisions are kept for some minutes; query an entry of the zone "
                "that answered the caller",
            )
        for decision in document["decisions"]:
            at = datetime.fromtimestamp(decision["at"], UTC).isoformat(
                "T", "milliseconds"
            )
            self.line(
                f"{at}  {decision['vm']}  {decision['decision']}  {decision['why']}"
            )
        if answered < asked:
            self.line(f"{asked - answered} of {asked} processes did not answer")
        if not document["entry_told"]:
            self.line(
                "the entry that took the request is missing: it did not answer, or the "
                "platform's list does not contain it yet; query that entry with --entry"
            )
        return StatusCode.OK
