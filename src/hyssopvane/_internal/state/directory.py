"""Look up customers by key and services by path in one table."""

from hyssopvane._internal.state.table import CustomerRow, ServiceRow, Table


class Directory:
    """Index the customers and services of a table for lookups by requests."""

    def __init__(self, table: Table) -> None:
        self.table = table
        self._customers = {
            row.key_sha256.lower(): row
            for row in table.customers.values()
            if row.key_sha256
        }
        self._prefixes = sorted(
            ((row.path_prefix.rstrip("/"), row) for row in table.services.values()),
            key=lambda item: -len(item[0]),
        )

    def find_customer(self, key_sha256: str) -> CustomerRow | None:
        """Return the customer whose API key has this SHA-256, or None."""
        return self._customers.get(key_sha256)

    def find_service(self, path: str) -> ServiceRow | None:
        """Return the service with the longest matching path prefix, or None."""
        for prefix, row in self._prefixes:
            if path == prefix or path.startswith(prefix + "/"):
                return row
        return None
