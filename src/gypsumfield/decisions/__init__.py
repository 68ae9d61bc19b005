"""Pure decisions: no sockets, clocks or randomness of their own."""
