"""Provide HTTP servers and clients, framed TCP connections and datagrams."""
