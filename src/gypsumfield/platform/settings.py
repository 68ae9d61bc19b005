"""Reads the settings of an edge host from the settings file of the platform."""

import math
import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import SettingsError
from gypsumfield.gateway.settings import EdgeBounds
from gypsumfield.gateway.settings import EdgeSettings

SETTINGS_PATH_VARIABLE = "GYPSUMFIELD_NODE_FILE"
# Share of repeatable calls to plain services that may be sent twice, from 0 to 1.
HEDGE_RATIO_VARIABLE = "GYPSUMFIELD_HEDGE_RATIO"
# The deployment file contains the same port.
METRICS_PORT = 9464


def settings_path() -> Path:
    """Return the path of the settings file that the platform writes.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingsError(
            f"the environment variable {SETTINGS_PATH_VARIABLE} is not set"
        )
    return Path(path)


def read_edge_settings(path: Path) -> EdgeSettings:
    """Read and check the settings file and the environment; unknown keys are ignored.

    Raises:
        SettingsError: The file cannot be read, or a required key is missing or
            has the wrong type; the message names the file and the key. Or an
            environment variable has a wrong value; the message names it.
    """
    try:
        data = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not TOML: {error}") from error
    return _SettingsReader(str(path), data).edge_settings()


def _hedge_ratio() -> float:
    text = os.environ.get(HEDGE_RATIO_VARIABLE)
    if text is None:
        return 0.0
    try:
        ratio = float(text)
    except ValueError:
        ratio = math.nan
    if not 0.0 <= ratio <= 1.0:
        raise SettingsError(
            f"the environment variable {HEDGE_RATIO_VARIABLE} must be a number "
            f"from 0 to 1, not {text!r}"
        )
    return ratio


class _SettingsReader:
    """Typed access to a parsed file; errors name the file and the key."""

    def __init__(self, name: str, data: Mapping[str, Any]) -> None:
        self._file_name = name
        self._data = data

    def edge_settings(self) -> EdgeSettings:
        ports = self._list("internal_port_range")
        if not ports or not isinstance(ports[0], int):
            raise SettingsError(
                f"{self._file_name}: internal_port_range: a first port is required"
            )
        return EdgeSettings(
            host_id=self._string("node_name"),
            availability_zone=self._string("zone"),
            # In the file, "front" is the address for callers, "control" for peers.
            caller_address=self._string("listen.front"),
            readiness_address=self._string("listen.ready"),
            peer_address=self._string("listen.control"),
            metrics_address=f"{self._string('node_ip')}:{METRICS_PORT}",
            ip=self._string("node_ip"),
            news_port=ports[0],
            seed_ips=tuple(
                str(seed).rpartition(":")[0] for seed in self._list("seed_nodes")
            ),
            store_address=self._string("platform.address"),
            bounds=self._bounds(),
            capacity=self._capacity(),
            availability_zones=self._availability_zones(),
            memory_mb=self._number(
                "limits.memory_mb", EdgeSettings._field_defaults["memory_mb"]
            ),
            hedge_ratio=_hedge_ratio(),
            max_fds=self._number(
                "limits.max_fds", EdgeSettings._field_defaults["max_fds"]
            ),
        )

    def _availability_zones(self) -> tuple[str, ...]:
        # The region of each zone, by zone.
        zones = self._lookup("zones")
        return tuple(sorted(zones)) if isinstance(zones, Mapping) else ()

    def _capacity(self) -> int:
        # The host has `cpu_share` of one core, and this core is `cpu_cores` times as
        # fast as a standard core.
        standard_cores = self._number("limits.cpu_share", 0.0) * self._number(
            "limits.cpu_cores", 1.0
        )
        return int(min(100.0 * standard_cores, self._number("limits.link_mbps", 0.0)))

    def _bounds(self) -> EdgeBounds:
        default = EdgeBounds()
        return EdgeBounds(
            stop_limit_ms=MS_PER_S
            * self._number("bounds.grace_s", default.stop_limit_ms / MS_PER_S),
            retry_ratio=self._number("bounds.retry_budget_ratio", default.retry_ratio),
            retry_window_ms=MS_PER_S
            * self._number(
                "bounds.budget_window_s", default.retry_window_ms / MS_PER_S
            ),
            # Retries that all hosts together may send in addition to the ratio.
            retry_extra=self._number("bounds.budget_extra", default.retry_extra),
            cold_factor=self._number("bounds.cold_overshoot", default.cold_factor),
            cold_extra=self._number("bounds.cold_slack", default.cold_extra),
        )

    def _lookup(self, key: str) -> Any:
        value: Any = self._data
        for part in key.split("."):
            if not isinstance(value, Mapping):
                return None
            value = value.get(part)
        return value

    def _string(self, key: str) -> str:
        value = self._lookup(key)
        if not isinstance(value, str) or not value:
            raise SettingsError(
                f"{self._file_name}: {key}: a non-empty string is required"
            )
        return value

    def _list(self, key: str) -> list[Any]:
        value = self._lookup(key)
        if not isinstance(value, list):
            raise SettingsError(f"{self._file_name}: {key}: a list is required")
        return value

    def _number(self, key: str, default: float) -> float:
        value = self._lookup(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(f"{self._file_name}: {key}: a number is required")
        return float(value)
