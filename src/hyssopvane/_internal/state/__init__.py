"""Hold frozen data that the other layers share."""
