"""Register the commands; the module of a command is imported when it runs."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CommandEntry:
    """Hold the names of a command's module and class."""

    module: str
    class_name: str


COMMANDS: dict[str, CommandEntry] = {
    "run entry": CommandEntry("run_entry", "RunEntryCommand"),
    "run agent": CommandEntry("run_agent", "RunAgentCommand"),
    "run direct-entry": CommandEntry("run_direct_entry", "RunDirectEntryCommand"),
    "run rank-agent": CommandEntry("run_rank_agent", "RunRankAgentCommand"),
    "demo": CommandEntry("demo", "DemoCommand"),
    "check": CommandEntry("check", "CheckCommand"),
    "table show": CommandEntry("table_show", "TableShowCommand"),
    "table set": CommandEntry("table_set", "TableSetCommand"),
    "table add": CommandEntry("table_add", "TableAddCommand"),
    "table remove": CommandEntry("table_remove", "TableRemoveCommand"),
    "table import": CommandEntry("table_import", "TableImportCommand"),
    "table status": CommandEntry("table_status", "TableStatusCommand"),
    "status": CommandEntry("status", "StatusCommand"),
    "explain": CommandEntry("explain", "ExplainCommand"),
    "table export": CommandEntry("table_export", "TableExportCommand"),
}
