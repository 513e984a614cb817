"""Move bytes: HTTP servers and clients, framed TCP."""
