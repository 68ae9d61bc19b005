"""Orders to engines, one at a time, from their desired and observed models.

Orders are level-triggered: each round compares the configuration with the
engines' inventories, so that a lost, late or reverted order is detected and sent
again. Engines of a model load in the order of their ranks, a few at a time, so
that the store of the model weights is not overloaded and some engine always
serves the model.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from gypsumfield.configuration import Service
from gypsumfield.decisions.ownership import rank_hosts
from gypsumfield.engine_api import Order

LOADING_DIVISOR = 4


class DesiredModel(NamedTuple):
    """Model that the engines of one service should hold.

    Attributes:
        model: Name of the model.
        version: Version; an empty string accepts any.
        adapters: Adapters that the engines should hold as well.
    """

    model: str
    version: str
    adapters: tuple[str, ...]


class ObservedEngine(NamedTuple):
    """Observed inventory of an engine, and its desired models.

    Attributes:
        backend_server: Id of the backend server that the engine is.
        boot_id: Boot that was observed.
        models: Version by name of the models that it holds.
        adapters: Adapters that it holds.
        desired: Models that the services which it serves require.
    """

    backend_server: str
    boot_id: str
    models: Mapping[str, str]
    adapters: tuple[str, ...]
    desired: tuple[DesiredModel, ...]


def desired_models(
    services: Mapping[str, Service], served: Iterable[str]
) -> tuple[DesiredModel, ...]:
    """Return the models that an engine needs to serve the named services."""
    desired = []
    for name in served:
        service = services.get(name)
        if service is not None and service.kind == "model":
            model = service.model or name
            desired.append(
                DesiredModel(model, service.model_version, tuple(service.adapters))
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
        target: The engine, as observed in this round.
        others: The other live engines, as observed in this round; one that could
            not be read is left out and counts as serving nothing.
        used_models: Models that any service in the configuration uses.
        revision: Configuration revision; becomes the fencing number.
    """
    others = tuple(others)
    if not target.desired:
        # No service of the engine is configured here, so its desired models
        # are unknown and none of its models may be unloaded.
        return None
    for model in target.desired:
        if not _holds(target, model):
            if _can_load(target, model, others):
                return Order("load_model", model.model, model.version, revision)
            continue
        missing = [name for name in model.adapters if name not in target.adapters]
        if missing:
            return Order("load_adapter", missing[0], "", revision)
    return _next_unload(target, others, used_models, revision)


def has_converged(engine: ObservedEngine) -> bool:
    """Return whether an engine holds its desired models and nothing else."""
    desired_names = {model.model for model in engine.desired}
    return desired_names == engine.models.keys() and all(
        _holds(engine, model) and set(model.adapters) <= set(engine.adapters)
        for model in engine.desired
    )


def _holds(engine: ObservedEngine, desired: DesiredModel) -> bool:
    version = engine.models.get(desired.model)
    return version is not None and desired.version in ("", version)


def _can_load(
    target: ObservedEngine, desired: DesiredModel, others: tuple[ObservedEngine, ...]
) -> bool:
    peers = [
        engine
        for engine in others
        if any(model.model == desired.model for model in engine.desired)
    ]
    by_name = {engine.backend_server: engine for engine in (target, *peers)}
    ranked = rank_hosts(f"load {desired.model} {desired.version}", by_name)
    # An engine without the model goes first: its load replaces no version that
    # is being served, and the last engine that serves an old version may be
    # waiting for it.
    ranked.sort(key=lambda name: desired.model in by_name[name].models)
    position = ranked.index(target.backend_server)
    pending = [name for name in ranked[:position] if not _holds(by_name[name], desired)]
    max_loading = max(1, len(ranked) // LOADING_DIVISOR)
    if len(pending) >= max_loading:
        return False
    if desired.model not in target.models or not peers:
        return True
    # A new version replaces the old one, which is not served during the load.
    # The engines that may load at once must not be the only ones that serve.
    serving = [engine for engine in peers if desired.model in engine.models]
    return len(serving) >= max_loading


def _next_unload(
    target: ObservedEngine,
    others: tuple[ObservedEngine, ...],
    used_models: frozenset[str],
    revision: int,
) -> Order | None:
    desired_names = {model.model for model in target.desired}
    if not all(_holds(target, model) for model in target.desired):
        return None
    for name in sorted(target.models.keys() - desired_names):
        if name not in used_models or _is_held_elsewhere(name, others):
            return Order("unload_model", name, "", revision)
    return None


def _is_held_elsewhere(name: str, others: tuple[ObservedEngine, ...]) -> bool:
    """Return whether another engine that should hold the model holds it."""
    return any(
        _holds(engine, model)
        for engine in others
        for model in engine.desired
        if model.model == name
    )
