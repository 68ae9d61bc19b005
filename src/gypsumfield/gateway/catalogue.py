"""This host's view of the configuration, the evacuations and the backend servers.

Every item carries a revision that orders all writes to the store. A newer revision of
a key replaces an older one, whatever source it was received from, so that no item
returns to an older state while the process runs. What a restored store has lost is
kept until it is written again: see `gypsumfield.gateway.restoration`.
"""

from collections.abc import Callable
from collections.abc import Iterable

from gypsumfield.clock import Clock
from gypsumfield.exceptions import ConfigurationError
from gypsumfield.gateway.events import BackendSeen
from gypsumfield.gateway.events import EvacuationChanged
from gypsumfield.gateway.events import ItemIgnored
from gypsumfield.gateway.events import PublicationInForce
from gypsumfield.gateway.events import StoreRestored
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import EngineSpec
from gypsumfield.gateway.model import Publication
from gypsumfield.gateway.model import ServerRecord
from gypsumfield.gateway.model import ServiceSpec
from gypsumfield.gateway.published_items import Decoders
from gypsumfield.gateway.published_items import DISCARDED_VALUE
from gypsumfield.gateway.published_items import era_of
from gypsumfield.gateway.published_items import keys_of
from gypsumfield.gateway.published_items import Outcome
from gypsumfield.gateway.published_items import PublishedItems
from gypsumfield.gateway.published_items import Resolution
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.rejections import Rejections
from gypsumfield.gateway.restoration import is_of_other_era
from gypsumfield.gateway.restoration import resolve_configuration
from gypsumfield.gateway.restoration import resolve_copied_item
from gypsumfield.interfaces import EmitEvent

# Servers whose registration expired while the store was unreachable register again
# within about two seconds of its return; those that do not are gone.
LAPSE_GRACE_MS = 2_200.0
# The announcement that a server will leave remains recorded for this time. Servers
# that leave are gone within a minute of the announcement.
LEAVING_RETENTION_MS = 600_000.0


class Catalogue:
    """Published items by key, and the configuration and servers decoded from them.

    Attributes:
        publication: Configuration in force, or None until one was received.
        evacuated_zones: Zones whose servers get no requests.
    """

    def __init__(self, decoders: Decoders, clock: Clock, emit: EmitEvent) -> None:
        self.publication: Publication | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self._decoders = decoders
        self._clock = clock
        self._emit = emit
        self._rejected_servers = Rejections(clock, emit)
        self._rejected_configurations = Rejections(clock, emit)
        self._items = PublishedItems(decoders.is_configuration)
        self._records: dict[str, ServerRecord] = {}
        # Wall-clock start of the server and monotonic time of the announcement.
        self._leaving_starts: dict[str, tuple[int, float]] = {}
        self._outage_ended_ms: float | None = None
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of published items or of a server."""
        self._listeners.append(listener)

    def record_outage_end(self) -> None:
        """Record the end of a store outage; lapsed registrations get a grace period."""
        self._outage_ended_ms = self._clock.monotonic_ms()

    @property
    def revision(self) -> int:
        """Revision up to which the view is complete; see `StoreItem`."""
        return self._items.revision

    def apply(
        self,
        items: Iterable[StoreItem],
        revision: int,
        source: str,
        is_fresh: bool = False,
    ) -> None:
        """Apply changed items; an item older than the one recorded is ignored.

        Args:
            items: The changes.
            revision: Revision up to which the changes are complete.
            source: Origin of the items, for the log.
            is_fresh: Whether the items were just written, so that none of them can
                come from the copy of which the store was restored.
        """
        now_ms = self._clock.monotonic_ms()
        if self.revision and era_of(revision) > era_of(self.revision):
            self.record_outage_end()
            self._emit(
                StoreRestored(
                    revision=revision, earlier_revision=self.revision, source=source
                )
            )

        def resolve(current: StoreItem, other: StoreItem) -> Resolution:
            return self._resolve_restored(current, other, source, is_fresh)

        changed = []
        for item in items:
            outcome = self._items.store_if_newer(item, now_ms, resolve)
            if outcome is Outcome.STORED:
                changed.append(item)
            elif outcome is Outcome.OLDER:
                self._log_ignored(item, source)
        self._items.revision = max(self.revision, revision)
        if changed:
            self._update_records(changed, source)

    def replace(self, items: Iterable[StoreItem], revision: int, source: str) -> None:
        """Apply a whole listing; keys that it lacks were deleted by ``revision``."""
        if era_of(revision) < era_of(self.revision):
            return
        listed = list(items)
        missing = self._items.missing(keys_of(listed), revision)
        self.apply([*listed, *missing], revision, source)

    def items_after(self, revision: int) -> list[StoreItem]:
        """Return the items changed after ``revision``, including deletions."""
        return self._items.after(revision)

    def servers_of(self, service: str) -> list[ServerRecord]:
        """Return the servers of a service, including those that are leaving.

        A server whose registration was deleted without an announcement continues
        to serve for a while; it is included and counts as leaving.
        """
        return [
            record
            for record in self._records.values()
            if record.server.service == service
        ]

    def servers(self) -> list[ServerRecord]:
        """Return the servers of all services, like `servers_of`."""
        return list(self._records.values())

    def service_spec(self, service: str) -> ServiceSpec | None:
        """Return the published properties of a service, or None."""
        return self.publication.services.get(service) if self.publication else None

    def engine_spec(self, service: str) -> EngineSpec | None:
        """Return the capacity of a service's engines, or None for a plain service."""
        spec = self.service_spec(service)
        return spec.engine if spec else None

    def engine_services(self) -> list[str]:
        """Return the services whose servers are engines."""
        services = self.publication.services.values() if self.publication else ()
        return [service.name for service in services if service.engine]

    def cold_servers(self, availability_zone: str) -> list[BackendServer]:
        """Return the servers of a zone that are still cold."""
        now_ms = self._clock.monotonic_ms()
        return [
            record.server
            for record in self._records.values()
            if record.cold_until_ms > now_ms
            and record.server.availability_zone == availability_zone
        ]

    def find_server(self, server_id: str) -> ServerRecord | None:
        """Return the record of one server, or None."""
        return self._records.get(server_id)

    def is_leaving(self, record: ServerRecord) -> bool:
        """Return whether a server gets no new work because it is leaving.

        A registration that may merely have expired while the store was unreachable
        counts as present for `LAPSE_GRACE_MS`, in which it would be written again.
        """
        if record.server.is_leaving:
            return True
        if record.gone_since_ms is None:
            return False
        if not self._may_have_lapsed(record.gone_since_ms):
            return True
        return self._clock.monotonic_ms() - record.gone_since_ms > LAPSE_GRACE_MS

    def mark_leaving(
        self, server_id: str, source: str, started_wall_ms: int | None = None
    ) -> None:
        """Record an announcement, not from the store, that a server will leave.

        The announcement is valid for one start of the server, whatever is registered
        for that start later.

        Args:
            server_id: The server.
            source: Who reported the announcement, for the log.
            started_wall_ms: Start of the server to which it applies; None for the
                start that is recorded.
        """
        record = self._records.get(server_id)
        if started_wall_ms is None:
            if record is None:
                return
            started_wall_ms = record.server.started_wall_ms
        current = self._leaving_starts.get(server_id)
        if current is not None and current[0] >= started_wall_ms:
            return
        self._leaving_starts[server_id] = (
            started_wall_ms,
            self._clock.monotonic_ms(),
        )
        if record is None or record.server.is_leaving:
            return
        if record.server.started_wall_ms == started_wall_ms:
            leaving = record._replace(server=record.server._replace(is_leaving=True))
            self._records[server_id] = leaving
            self._emit_backend_seen(leaving, "leaving", source)
            self._notify_listeners()

    def recently_leaving(self, lifetime_ms: float) -> list[tuple[str, int]]:
        """Return ids and wall-clock starts of the servers recorded as leaving recently.

        Args:
            lifetime_ms: Greatest age of an announcement.
        """
        oldest_ms = self._clock.monotonic_ms() - lifetime_ms
        return [
            (server_id, start[0])
            for server_id, start in self._leaving_starts.items()
            if start[1] >= oldest_ms
        ]

    def remove_expired(self, lifetime_ms: float) -> None:
        """Remove expired entries: servers, announcements and deletions.

        Args:
            lifetime_ms: How long a server stays after its registration was deleted.
        """
        now_ms = self._clock.monotonic_ms()
        for server_id, record in list(self._records.items()):
            since_ms = record.gone_since_ms
            if since_ms is not None and now_ms - since_ms > lifetime_ms:
                del self._records[server_id]
        for server_id, (_, recorded_ms) in list(self._leaving_starts.items()):
            if now_ms - recorded_ms > LEAVING_RETENTION_MS:
                del self._leaving_starts[server_id]
        self._items.discard_deletions(now_ms)
        if released := self._items.release_held(now_ms):
            self._update_records(released, "restored store")

    def _may_have_lapsed(self, gone_since_ms: float) -> bool:
        ended_ms = self._outage_ended_ms
        return ended_ms is not None and abs(gone_since_ms - ended_ms) < LAPSE_GRACE_MS

    def _resolve_restored(
        self, current: StoreItem, item: StoreItem, source: str, is_fresh: bool
    ) -> Resolution:
        """Decide between an item of this host and one of another era of the store."""
        if self._decoders.is_configuration(item.key):
            publication = self._decode_publication(item, source)
            return resolve_configuration(current, item, publication, self.publication)
        if item.revision < current.revision:
            return Resolution.KEEP
        if is_fresh:
            return Resolution.ADOPT
        return resolve_copied_item(current, item, self._decoders, self.find_server)

    def _log_ignored(self, item: StoreItem, source: str) -> None:
        current = self._items.find(item.key)
        if current and current.value not in (item.value, DISCARDED_VALUE):
            self._emit(
                ItemIgnored(
                    key=item.key,
                    revision=item.revision,
                    kept_revision=current.revision,
                    source=source,
                )
            )

    def _update_records(self, changed: list[StoreItem], source: str) -> None:
        for item in changed:
            if self._decoders.is_configuration(item.key):
                self._update_publication(item, source)
            elif self._decoders.is_server(item.key):
                self._update_server(item, source)
            else:
                self._update_evacuation(item, source)
                self._items.discard_unused_value(item)
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _update_publication(self, item: StoreItem, source: str) -> None:
        publication = self._decode_publication(item, source)
        if publication is None:
            return
        self.publication = publication
        self._emit(
            PublicationInForce(
                revision=item.revision, version=publication.version, source=source
            )
        )

    def _decode_publication(self, item: StoreItem, source: str) -> Publication | None:
        """Return a configuration that may come into force, or log why not."""
        current_version = self.publication.version if self.publication else 0
        try:
            if item.value is None:
                raise ConfigurationError(f"{item.key}: the configuration was deleted")
            publication = self._decoders.publication(item.value)
            if publication.version < current_version:
                raise ConfigurationError(
                    f"{item.key}: version {publication.version} is older than "
                    f"version {current_version} in force"
                )
        except ConfigurationError as error:
            self._rejected_configurations.record(
                item.key, str(error), source, item.revision, current_version
            )
            return None
        return publication

    def _update_evacuation(self, item: StoreItem, source: str) -> None:
        zone = self._decoders.evacuated_zone(item.key)
        if not zone:
            return
        is_out = item.value is not None
        zones = self.evacuated_zones - {zone}
        self.evacuated_zones = zones | {zone} if is_out else zones
        self._emit(
            EvacuationChanged(
                availability_zone=zone,
                is_out=is_out,
                revision=item.revision,
                source=source,
            )
        )

    def _update_server(self, item: StoreItem, source: str) -> None:
        now_ms = self._clock.monotonic_ms()
        if item.value is None:
            self._mark_server_gone(item, source, now_ms)
            return
        try:
            server = self._decoders.server(item.key, item.value, item.revision)
        except ConfigurationError as error:
            self._rejected_servers.record(item.key, str(error), source, item.revision)
            self._items.discard_unused_value(item)
            return
        leaving = self._leaving_starts.get(server.server_id)
        if leaving is not None and leaving[0] == server.started_wall_ms:
            server = server._replace(is_leaving=True)
        current = self._records.get(server.server_id)
        is_same_start = (
            current and current.server.started_wall_ms == server.started_wall_ms
        )
        first_seen_ms = current.first_seen_ms if current and is_same_start else now_ms
        cold_until_ms = now_ms + server.cold_left_ms
        if current and is_same_start and is_of_other_era(server, current.server):
            # The copy of which the store was restored may be older than these.
            cold_until_ms = max(cold_until_ms, current.cold_until_ms)
            is_leaving = server.is_leaving or current.server.is_leaving
            server = server._replace(is_leaving=is_leaving)
        record = ServerRecord(server, first_seen_ms, cold_until_ms)
        self._records[server.server_id] = record
        state = "leaving" if server.is_leaving else "ready"
        self._emit_backend_seen(record, state, source)

    def _mark_server_gone(self, item: StoreItem, source: str, now_ms: float) -> None:
        server_id = self._decoders.server_id(item.key)
        record = self._records.get(server_id)
        if record is None or record.gone_since_ms is not None:
            return
        gone_record = record._replace(gone_since_ms=now_ms)
        self._records[server_id] = gone_record
        state = "lapsed" if self._may_have_lapsed(now_ms) else "gone"
        self._emit_backend_seen(gone_record, state, source)

    def _emit_backend_seen(self, record: ServerRecord, state: str, source: str) -> None:
        server = record.server
        self._emit(
            BackendSeen(
                service=server.service,
                backend_server=server.server_id,
                availability_zone=server.availability_zone,
                state=state,
                revision=server.revision,
                cold_left_ms=server.cold_left_ms,
                source=source,
                software_version=server.software_version,
            )
        )
