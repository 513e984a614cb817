"""Define the data types that the other layers share."""
