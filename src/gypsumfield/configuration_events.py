"""What is logged when a configuration comes into force."""

from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.events import ConfigurationInForce
from gypsumfield.events import ConfigurationRejected
from gypsumfield.events import Event
from gypsumfield.events import ZoneBack
from gypsumfield.events import ZoneOut


def configuration_events(
    store: ConfigurationStore, before: object, delta: ConfigurationDelta, source: str
) -> list[Event]:
    """Return what is to be logged of an applied delta.

    Args:
        store: Store that the delta was applied to.
        before: The store's view before.
        delta: The changes.
        source: ``platform``, or the host id of the peer they came from.
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
        known = zones_before.get(name)
        if known is not None and known.status != zone.status:
            kind = ZoneOut if zone.status == "out" else ZoneBack
            events.append(kind(availability_zone=name))
    return events
