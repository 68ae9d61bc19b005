"""Orders to engines, from what is wanted and what is observed, one at a time.

Orders are level-triggered: each round compares the configuration with the
engines' inventories, so that a lost, late or reverted order is found and given
again. Engines of a model change in the order of their ranks, a few at a time,
so that the weight store is not stormed and somebody always serves.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.configuration import Service
from gypsumfield.decisions.ownership import rank_hosts
from gypsumfield.engine_api import Order

LOADING_SHARE = 4


class WantedModel(NamedTuple):
    """What the engines of one service shall hold.

    Attributes:
        model: Name of the model.
        version: Version; empty is any.
        adapters: Adapters to hold as well.
    """

    model: str
    version: str
    adapters: tuple[str, ...]


class ObservedEngine(NamedTuple):
    """What an engine was seen to hold, and what it shall hold.

    Attributes:
        backend_server: Host id.
        boot_id: Boot that was observed.
        models: Version by name of the models it holds.
        adapters: Adapters it holds.
        wanted: What the services that it serves ask for.
    """

    backend_server: str
    boot_id: str
    models: Mapping[str, str]
    adapters: tuple[str, ...]
    desired: tuple[WantedModel, ...]


def desired_models(
    services: Mapping[str, Service], served: Iterable[str]
) -> tuple[WantedModel, ...]:
    """Return what an engine that serves the named services shall hold."""
    desired = []
    for name in served:
        service = services.get(name)
        if service is not None and service.kind == "model":
            model = service.model or name
            desired.append(
                WantedModel(model, service.model_version, tuple(service.adapters))
            )
    return tuple(desired)


def next_order(
    target: ObservedEngine,
    others: Iterable[ObservedEngine],
    used_models: frozenset[str],
    revision: int,
) -> Order | None:
    """Return the next order to an engine, or None when it must not have one now.

    Args:
        target: The engine, freshly observed.
        others: The other live engines, as freshly observed; one that could not
            be read is left out and counts as serving nothing.
        used_models: Models that any service in the configuration uses.
        revision: Configuration revision; becomes the fencing number.
    """
    others = tuple(others)
    if not target.desired:
        # Without a service that is known here, nothing is known to be right.
        return None
    for model in target.desired:
        if not _holds(target, model):
            if _may_load(target, model, others):
                return Order("load_model", model.model, model.version, revision)
            continue
        missing = [name for name in model.adapters if name not in target.adapters]
        if missing:
            return Order("load_adapter", missing[0], "", revision)
    return _next_unload(target, others, used_models, revision)


def has_converged(engine: ObservedEngine) -> bool:
    """Return whether an engine holds what it shall and nothing else."""
    wanted_names = {model.model for model in engine.desired}
    return wanted_names == engine.models.keys() and all(
        _holds(engine, model) and set(model.adapters) <= set(engine.adapters)
        for model in engine.desired
    )


def _holds(engine: ObservedEngine, desired: WantedModel) -> bool:
    version = engine.models.get(desired.model)
    return version is not None and desired.version in ("", version)


def _may_load(
    target: ObservedEngine, desired: WantedModel, others: tuple[ObservedEngine, ...]
) -> bool:
    peers = [
        engine
        for engine in others
        if any(model.model == desired.model for model in engine.desired)
    ]
    by_name = {engine.backend_server: engine for engine in (target, *peers)}
    ranked = rank_hosts(f"load {desired.model} {desired.version}", by_name)
    # An engine without the model goes first: it takes nothing away, and the
    # last one that serves an old version may be waiting for it.
    ranked.sort(key=lambda name: desired.model in by_name[name].models)
    position = ranked.index(target.backend_server)
    pending = [name for name in ranked[:position] if not _holds(by_name[name], desired)]
    at_once = max(1, len(ranked) // LOADING_SHARE)
    if len(pending) >= at_once:
        return False
    if desired.model not in target.models or not peers:
        return True
    # A new version takes the old one's place. As many engines as may load at
    # once must not be the only ones that serve.
    serving = [engine for engine in peers if desired.model in engine.models]
    return len(serving) >= at_once


def _next_unload(
    target: ObservedEngine,
    others: tuple[ObservedEngine, ...],
    used_models: frozenset[str],
    revision: int,
) -> Order | None:
    wanted_names = {model.model for model in target.desired}
    if not all(_holds(target, model) for model in target.desired):
        return None
    for name in sorted(target.models.keys() - wanted_names):
        if name not in used_models or _is_settled_elsewhere(name, others):
            return Order("unload_model", name, "", revision)
    return None


def _is_settled_elsewhere(name: str, others: tuple[ObservedEngine, ...]) -> bool:
    """Return whether an engine that shall keep the model holds it."""
    return any(
        _holds(engine, model)
        for engine in others
        for model in engine.desired
        if model.model == name
    )
