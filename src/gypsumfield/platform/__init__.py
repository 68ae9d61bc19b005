"""Wire names, formats and calls of the users' platform; makes no decisions."""
