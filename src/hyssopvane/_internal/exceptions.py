"""Define the errors that the system reports to its users."""


class HyssopvaneError(Exception):
    """Report an error with its context and a hint on what to do."""

    def __init__(self, message: str, *, context: str = "", hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.context = context
        self.hint = hint

    def __str__(self) -> str:
        where = f" ({self.context})" if self.context else ""
        remedy = f"; {self.hint}" if self.hint else ""
        return f"{self.message}{where}{remedy}"


class SettingsError(HyssopvaneError):
    """Report invalid settings."""


class TableError(HyssopvaneError):
    """Report an edit or an import that the table rejects."""


class EditConflict(TableError):
    """Report a cell that another operator has changed in the meantime."""


class KeyValueError(HyssopvaneError):
    """Report a call that the platform's key-value service did not answer."""


class KeyValueUnavailable(KeyValueError):
    """Report a call that was certainly not applied."""


class KeyValueUnknown(KeyValueError):
    """Report a write that may or may not have been applied."""


class KeyValueRefused(KeyValueError):
    """Report a rejected call, which must not be retried unchanged."""


class ClaimExpired(HyssopvaneError):
    """Report a key so old that its claim may have been deleted."""


class VmListError(HyssopvaneError):
    """Report a failure to read the platform's list of VMs."""


class ProtocolError(HyssopvaneError):
    """Report a peer that violates the internal protocol."""


class PeerLost(HyssopvaneError):
    """Report a connection to a peer that was closed or timed out."""


class OperatorRequestError(HyssopvaneError):
    """Report a request of an operator that can't be answered."""


class MapSwitchError(HyssopvaneError):
    """Report an unusable record, order or engine of an expert map."""


class ConfigurationError(HyssopvaneError):
    """Report an invalid configuration, registration or report."""
