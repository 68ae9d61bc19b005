"""Experiment file of the load tool, checked field by field."""

import hashlib
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from gypsumfield.exceptions import SettingsError
from gypsumfield.settings import read_settings

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Phase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Factor on a rate from one moment on, until the next phase."""

    from_ms: NotNegative
    factor: NotNegative


class Arrivals(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arrival process of one kind of traffic.

    Attributes:
        kind: Exponential or equal gaps.
        rate_per_s: Requests a second over all accounts, with factor 1.
        phases: Changes of the rate over time.
    """

    kind: Literal["poisson", "constant"]
    rate_per_s: Positive
    phases: tuple[Phase, ...] = ()


class Lengths(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Distribution of lengths in tokens.

    Attributes:
        kind: One value, log-normal, or one of two log-normal humps.
        median_tokens: Median, of the first hump.
        spread: Standard deviation of the logarithm.
        second_median_tokens: Median of the second hump.
        second_share: Share of the second hump.
        limit_tokens: Largest length.
    """

    kind: Literal["constant", "lognormal", "two_humped"]
    median_tokens: Positive
    spread: NotNegative = 0.8
    second_median_tokens: Positive = 1.0
    second_share: Share = 0.0
    limit_tokens: Count = 32_768


class Traffic(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request.

    Attributes:
        name: Name in the results.
        service: Service it goes to.
        kind: Generation, streamed, or call of a plain service.
        arrivals: When requests come.
        prompt: Length of the prompt.
        output: True length of the answer, which the stand-in engine honours.
        max_tokens: Limit that the request states.
        method: Method of a plain call.
        path: Path of a plain call.
        body: JSON body of a plain call.
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
        name: Its name.
        rate_per_s: Its rate over all entry hosts.
        burst: Its burst.
        share: Its part of all traffic, relative to the other accounts.
        weight: Its weight for fairness.
        phases: Changes of its own traffic over time, a flood for example.
    """

    name: str
    rate_per_s: Positive
    burst: Positive
    share: Positive = 1.0
    weight: Positive = 1.0
    phases: tuple[Phase, ...] = ()


class ValueFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="value"):
    """Publishes a value on the platform stand-in; None removes it."""

    at_ms: NotNegative
    key: str
    value: Any = None

    @property
    def label(self) -> str:
        """Short text for reports."""
        status = self.value.get("status", "") if isinstance(self.value, dict) else ""
        return f"{self.key} {status or 'published'}"


class BackendFault(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="backend"
):
    """Puts an order to the fault route of one backend server's stand-in."""

    at_ms: NotNegative
    host_id: str
    order: dict[str, Any]

    @property
    def label(self) -> str:
        """Short text for reports."""
        return f"{self.host_id}: {', '.join(self.order) or 'cleared'}"


class PlatformFault(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="platform"
):
    """Turns the platform stand-in down, stale or up."""

    at_ms: NotNegative
    mode: Literal["up", "down", "stale"]

    @property
    def label(self) -> str:
        """Short text for reports."""
        return f"platform {self.mode}"


Fault = ValueFault | BackendFault | PlatformFault


class BackendGroup(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Backend servers of one service, spread over the zones in turn."""

    service: str
    kind: Literal["model", "plain"]
    count: Count
    engine: dict[str, Any] = {}


class FleetSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fleet that an experiment is meant for."""

    availability_zones: tuple[str, ...]
    entry_host_count: Count
    backends: tuple[BackendGroup, ...]


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One experiment.

    Attributes:
        name: Its name in reports.
        seed: Seed of arrivals, lengths, hosts and keys.
        duration_ms: How long requests are sent.
        warm_up_ms: Pause between publishing the values and the first request,
            in which new entry hosts fill their accounts' buckets.
        drain_ms: How long answers may take after that.
        stall_threshold_ms: Silence between two tokens that counts as a stall.
        traffic: What is sent.
        accounts: Who sends it.
        values: Published on the platform stand-in before the start.
        faults: What happens meanwhile.
        fleet: Fleet it is meant for, if a fleet is to be started for it.
    """

    name: str
    seed: int
    duration_ms: Positive
    traffic: tuple[Traffic, ...]
    accounts: tuple[LoadAccount, ...]
    warm_up_ms: NotNegative = 0.0
    drain_ms: NotNegative = 30_000.0
    stall_threshold_ms: Positive = 500.0
    values: dict[str, Any] = {}
    faults: tuple[Fault, ...] = ()
    fleet: FleetSize | None = None


def read_experiment(path: str) -> Experiment:
    """Read and check the experiment file at ``path``.

    Raises:
        SettingsError: It cannot be read or used; the message names the field.
    """
    experiment = read_settings(path, Experiment)
    for field in ("traffic", "accounts"):
        items = getattr(experiment, field)
        names = [item.name for item in items]
        if not names:
            raise SettingsError(f"{path}: field `{field}` is empty")
        if len(set(names)) != len(names):
            raise SettingsError(f"{path}: field `{field}` has a name twice")
    all_phases = [account.phases for account in experiment.accounts]
    all_phases += [traffic.arrivals.phases for traffic in experiment.traffic]
    for phases in all_phases:
        starts_ms = [phase.from_ms for phase in phases]
        if starts_ms != sorted(starts_ms):
            raise SettingsError(f"{path}: field `phases` is not in order of `from_ms`")
    return experiment


def account_key(experiment: Experiment, account: str) -> str:
    """Return the key that the account uses, the same in every run."""
    text = f"{experiment.name}:{experiment.seed}:{account}"
    return "gfk-" + hashlib.sha256(text.encode()).hexdigest()[:40]


def published_values(experiment: Experiment) -> dict[str, Any]:
    """Return all values by key that the experiment needs on the platform."""
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
