"""Make the decisions of load balancing, without I/O or a wall clock."""
