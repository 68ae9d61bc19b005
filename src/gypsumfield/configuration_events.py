"""Events to log when a configuration change takes effect, or a host is invalid."""

from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.events import ConfigurationInForce
from gypsumfield.events import ConfigurationRejected
from gypsumfield.events import Event
from gypsumfield.events import MemberRejected
from gypsumfield.events import ZoneBack
from gypsumfield.events import ZoneOut
from gypsumfield.interfaces import EmitEvent
from gypsumfield.interfaces import RecordInvalidHost


def configuration_events(
    store: ConfigurationStore, before: object, delta: ConfigurationDelta, source: str
) -> list[Event]:
    """Return the events to log after a delta was applied.

    Args:
        store: Store to which the delta was applied.
        before: `Configuration` of the store before the delta was applied.
        delta: Applied changes.
        source: ``platform``, or the host id of the peer that sent the delta.
    """
    events: list[Event] = [
        ConfigurationInForce(
            revision=delta.revision, source=source, changed_count=len(delta.values)
        )
    ]
    events += [
        ConfigurationRejected(key=key, reason=reason)
        for key, reason in store.current.rejected.items()
        if key in delta.values
    ]
    zones_before = getattr(before, "zones", {})
    for name, zone in store.current.zones.items():
        previous = zones_before.get(name)
        if previous is not None and previous.status != zone.status:
            event_type = ZoneOut if zone.status == "out" else ZoneBack
            events.append(event_type(availability_zone=name))
    return events


def log_invalid_hosts(emit: EmitEvent) -> RecordInvalidHost:
    """Return a function that logs a host that cannot be used."""
    return lambda host_id, reason: emit(MemberRejected(member=host_id, reason=reason))
