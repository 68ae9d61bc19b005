"""Sample events of every event type, with all fields set."""

from typing import Any

import msgspec

from gypsumfield import events

SAMPLE_VALUES: dict[Any, Any] = {str: "word", int: 3, float: 12.5}


def event_types() -> list[type[events.Event]]:
    return events.Event.__subclasses__()


def filled_event(
    event_type: type[events.Event], text: str = "", **fields: Any
) -> events.Event:
    """Return an event with every field set; ``text`` is the value of all strings."""
    samples = SAMPLE_VALUES | ({str: text} if text else {})
    values = {
        field.name: samples.get(field.type, 12.5)
        for field in msgspec.structs.fields(event_type)
    }
    return event_type(**(values | fields))
