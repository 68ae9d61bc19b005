"""Time line of the events of many processes, as text and drawing."""
