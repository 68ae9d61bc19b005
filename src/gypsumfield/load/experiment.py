"""Experiment files of the load tool: their fields and the checks on them."""

import hashlib
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from gypsumfield.exceptions import SettingsError
from gypsumfield.settings import read_settings

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Phase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Factor on a rate that applies from ``from_ms`` until the next phase."""

    from_ms: NonNegative
    factor: NonNegative


class Arrivals(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arrival process of one kind of traffic.

    Attributes:
        kind: ``poisson`` for exponential gaps, ``constant`` for equal ones.
        rate_per_s: Requests per second over all accounts, at factor 1.
        phases: Changes of the rate over time, in order of time.
    """

    kind: Literal["poisson", "constant"]
    rate_per_s: Positive
    phases: tuple[Phase, ...] = ()


class Lengths(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Distribution of lengths in tokens.

    Attributes:
        kind: ``constant`` for one value, ``lognormal``, or ``two_humped`` for a
            mixture of two log-normal distributions.
        median_tokens: Median; of the first distribution if there are two.
        spread: Standard deviation of the logarithm.
        second_median_tokens: Median of the second distribution.
        second_share: Share of lengths drawn from the second distribution.
        limit_tokens: Largest length; longer ones are cut to it.
    """

    kind: Literal["constant", "lognormal", "two_humped"]
    median_tokens: Positive
    spread: NonNegative = 0.8
    second_median_tokens: Positive = 1.0
    second_share: Share = 0.0
    limit_tokens: Count = 32_768


class Traffic(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of traffic.

    Attributes:
        name: Name in the results.
        service: Service that receives the requests.
        kind: ``model`` for streamed generations, ``plain`` for calls of a plain
            service.
        arrivals: Arrival process of the requests.
        prompt: Lengths of the prompts.
        output: Lengths of the answers that the stand-in engine generates.
        max_tokens: Limit on the tokens of the answer, sent with each request.
        method: HTTP method of a plain call.
        path: Path of a plain call.
        body: JSON body of a plain call; None for an empty body.
    """

    name: str
    service: str
    kind: Literal["model", "plain"]
    arrivals: Arrivals
    prompt: Lengths = Lengths("constant", 32)
    output: Lengths = Lengths("constant", 64)
    max_tokens: Count = 4_096
    method: Literal["GET", "POST", "PUT", "DELETE"] = "POST"
    path: str = "/"
    body: Any = None


class LoadAccount(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One client account.

    Attributes:
        name: Name of the account.
        rate_per_s: Allowed requests per second over all entry hosts.
        burst: Allowed burst in requests.
        share: Part of all traffic that the account sends, relative to the others.
        weight: Weight of the account in fair queueing.
        phases: Changes of its traffic over time, such as a flood.
    """

    name: str
    rate_per_s: Positive
    burst: Positive
    share: Positive = 1.0
    weight: Positive = 1.0
    phases: tuple[Phase, ...] = ()


class ValueFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="value"):
    """Publishes a value on the platform stand-in, or removes it if None."""

    at_ms: NonNegative
    key: str
    value: Any = None

    @property
    def label(self) -> str:
        """Short description for reports."""
        status = self.value.get("status", "") if isinstance(self.value, dict) else ""
        return f"{self.key} {status or 'published'}"


class BackendFault(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="backend"
):
    """Replaces the armed faults of a backend server's stand-in by ``order``."""

    at_ms: NonNegative
    host_id: str
    order: dict[str, Any]

    @property
    def label(self) -> str:
        """Short description for reports."""
        return f"{self.host_id}: {', '.join(self.order) or 'cleared'}"


class PlatformFault(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="platform"
):
    """Sets the mode of the platform stand-in.

    In mode ``stale`` it serves the state of the time when the mode was set.
    """

    at_ms: NonNegative
    mode: Literal["up", "down", "stale"]

    @property
    def label(self) -> str:
        """Short description for reports."""
        return f"platform {self.mode}"


Fault = ValueFault | BackendFault | PlatformFault


class BackendGroup(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Backend servers of one service, assigned to the zones round robin."""

    service: str
    kind: Literal["model", "plain"]
    count: Count
    engine: dict[str, Any] = {}


class FleetSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Zones and servers of the fleet that an experiment is designed for."""

    availability_zones: tuple[str, ...]
    entry_host_count: Count
    backends: tuple[BackendGroup, ...]


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load experiment as read from its JSON file.

    Attributes:
        name: Name in reports.
        seed: Seed of arrivals, lengths, order of entry hosts and API keys.
        duration_ms: Time during which requests are sent.
        warm_up_ms: Pause between publishing the values and the first request, in
            which new entry hosts fill the token buckets of the accounts.
        drain_ms: Time that answers may take after the last request was sent.
        stall_threshold_ms: A gap between two tokens above this counts as a stall.
        traffic: Kinds of traffic.
        accounts: Client accounts that send it.
        values: Values to publish on the platform stand-in before the start.
        faults: Faults to apply during the run.
        fleet: Fleet to start for the experiment, if one is to be started.
    """

    name: str
    seed: int
    duration_ms: Positive
    traffic: tuple[Traffic, ...]
    accounts: tuple[LoadAccount, ...]
    warm_up_ms: NonNegative = 0.0
    drain_ms: NonNegative = 30_000.0
    stall_threshold_ms: Positive = 500.0
    values: dict[str, Any] = {}
    faults: tuple[Fault, ...] = ()
    fleet: FleetSize | None = None


def read_experiment(path: str) -> Experiment:
    """Read and check the experiment file at ``path``.

    Raises:
        SettingsError: The file can't be read or a field is invalid; the message names
            the field.
    """
    experiment = read_settings(path, Experiment)
    for field in ("traffic", "accounts"):
        items = getattr(experiment, field)
        names = [item.name for item in items]
        if not names:
            raise SettingsError(f"{path}: field `{field}` is empty")
        if len(set(names)) != len(names):
            raise SettingsError(f"{path}: field `{field}` contains a name twice")
    all_phases = [account.phases for account in experiment.accounts]
    all_phases += [traffic.arrivals.phases for traffic in experiment.traffic]
    for phases in all_phases:
        starts_ms = [phase.from_ms for phase in phases]
        if starts_ms != sorted(starts_ms):
            raise SettingsError(f"{path}: field `phases` is not sorted by `from_ms`")
    return experiment


def account_key(experiment: Experiment, account: str) -> str:
    """Return the API key of the account; it is the same in every run."""
    text = f"{experiment.name}:{experiment.seed}:{account}"
    return "gfk-" + hashlib.sha256(text.encode()).hexdigest()[:40]


def published_values(experiment: Experiment) -> dict[str, Any]:
    """Return the values, by key, that must be published on the platform."""
    services = sorted({traffic.service for traffic in experiment.traffic})
    values = dict(experiment.values)
    for account in experiment.accounts:
        key = account_key(experiment, account.name)
        values[f"client_accounts/{account.name}"] = {
            "key_digests": [hashlib.sha256(key.encode()).hexdigest()],
            "rate_per_s": account.rate_per_s,
            "burst": account.burst,
            "services": services,
            "weight": account.weight,
        }
    return values
