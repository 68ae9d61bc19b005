"""A placer with records of a few engines, without a network."""

import json
import random

from fake_platform import publication
from gypsumfield.clock import ManualClock
from gypsumfield.decisions.brittle_servers import HostPosition
from gypsumfield.decisions.fleet_shares import cold_bound_per_s
from gypsumfield.decisions.fleet_shares import cold_share_per_s
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.path_watch import PathDependencies
from gypsumfield.gateway.path_watch import PathWatch
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.published_items import Decoders
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.scheduling import EnginePaces
from gypsumfield.gateway.server_notices import NoticeDependencies
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.server_placement import PlacementDependencies
from gypsumfield.gateway.settings import EdgeBounds
from gypsumfield.interfaces import discard_event
from gypsumfield.platform import documents


def make_catalogue(clock, emit=discard_event):
    """Return an empty catalogue that reads the platform's documents."""
    decoders = Decoders(
        documents.is_configuration_key,
        documents.is_server_key,
        documents.server_id,
        documents.evacuated_zone,
        documents.decode_publication,
        documents.decode_server,
    )
    return Catalogue(decoders, clock, emit)


class Fleet:
    """A placer with one engine, ``e1``, ``e2`` and so on, for each given zone."""

    def __init__(self, zones, cold_ms=0, events=discard_event, is_large=False):
        self.clock = ManualClock(1_000.0)
        self.permit_waits_ms = {}
        clock = self.clock.as_clock()
        self.catalogue = make_catalogue(clock)
        document = publication({"engine": "streaming"})
        document["services"][0]["cold_per_s"] = 20
        items = [StoreItem("op/config", 1, json.dumps(document).encode())]
        for number, zone in enumerate(zones, 1):
            registration = {
                "service": "engine",
                "address": f"10.0.0.{number}:80",
                "zone": zone,
                "version": "v1",
                "state": "ready",
                "slot_count": 8,
                "cold_remaining_ms": cold_ms,
            }
            data = json.dumps(registration).encode()
            items.append(StoreItem(f"servers/e{number}", number + 1, data))
        self.catalogue.apply(items, len(items), "test")
        self.notices = ServerNotices(NoticeDependencies(self.catalogue, clock, events))
        bounds = EdgeBounds()
        self.ledger = Ledger()
        self.placer = Placer(
            PlacementDependencies(
                availability_zone="z1",
                catalogue=self.catalogue,
                ledger=self.ledger,
                report_cache=EngineReportCache(self.catalogue, clock),
                engine_paces=EnginePaces(self.catalogue, clock),
                notices=self.notices,
                permit_wait_ms=lambda server: self.permit_waits_ms.get(
                    server.server_id, 0.0
                ),
                cold_rate_limit=lambda server: cold_share_per_s(
                    cold_bound_per_s(20.0, bounds.cold_factor, bounds.cold_extra), 1, 0
                ),
                is_large_fleet=lambda: is_large,
                host_position=lambda _server_id: HostPosition(0, 1),
                paths=PathWatch(
                    PathDependencies(
                        self.catalogue, lambda _server: None, clock, events
                    )
                ),
                clock=clock,
                rng=random.Random(1),
                emit=events,
            )
        )

    def server(self, server_id):
        return self.catalogue.find_server(server_id).server

    def candidates(self):
        records = self.placer.candidates("engine", (), ANY_VERSION)
        return sorted(record.server.server_id for record in records)
