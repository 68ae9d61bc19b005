"""Settings file of the platform, decoded into the settings of an edge host."""

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
# The deploy file names it as well.
METRICS_PORT = 9464


def settings_path() -> Path:
    """Return the path of the settings file that the platform writes.

    Raises:
        SettingsError: The environment does not name one.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingsError(f"the variable {SETTINGS_PATH_VARIABLE} is not set")
    return Path(path)


def read_edge_settings(path: Path) -> EdgeSettings:
    """Read and check the platform's settings file; unknown keys are ignored.

    Raises:
        SettingsError: The file cannot be read, or a key that is needed is
            missing or of the wrong type; the message names file and key.
    """
    try:
        data = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not TOML: {error}") from error
    return _Reader(str(path), data).settings()


class _Reader:
    """Typed access to a parsed file; errors name file and key."""

    def __init__(self, name: str, data: Mapping[str, Any]) -> None:
        self._name = name
        self._data = data

    def settings(self) -> EdgeSettings:
        ports = self._list("internal_port_range")
        if not ports or not isinstance(ports[0], int):
            raise SettingsError(f"{self._name}: internal_port_range: no port is listed")
        return EdgeSettings(
            host_id=self._text("node_name"),
            availability_zone=self._text("zone"),
            # The file calls the callers' side "front" and the peers' "control".
            caller_address=self._text("listen.front"),
            readiness_address=self._text("listen.ready"),
            peer_address=self._text("listen.control"),
            metrics_address=f"{self._text('node_ip')}:{METRICS_PORT}",
            ip=self._text("node_ip"),
            news_port=ports[0],
            seed_ips=tuple(
                str(seed).rpartition(":")[0] for seed in self._list("seed_nodes")
            ),
            store_address=self._text("platform.address"),
            bounds=self._bounds(),
            capacity=self._capacity(),
        )

    def _capacity(self) -> int:
        # The share is of a core that is so many times as fast as a usual one.
        core_ratio = self._number("limits.cpu_share", 0.0) * self._number(
            "limits.cpu_cores", 1.0
        )
        return int(min(100.0 * core_ratio, self._number("limits.link_mbps", 0.0)))

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
            # Retries that all hosts together may send beyond the ratio.
            retry_extra=self._number("bounds.budget_extra", default.retry_extra),
            cold_factor=self._number("bounds.cold_overshoot", default.cold_factor),
            cold_extra=self._number("bounds.cold_slack", default.cold_extra),
        )

    def _find(self, key: str) -> Any:
        value: Any = self._data
        for part in key.split("."):
            if not isinstance(value, Mapping):
                return None
            value = value.get(part)
        return value

    def _text(self, key: str) -> str:
        value = self._find(key)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{self._name}: {key}: a text is needed")
        return value

    def _list(self, key: str) -> list[Any]:
        value = self._find(key)
        if not isinstance(value, list):
            raise SettingsError(f"{self._name}: {key}: a list is needed")
        return value

    def _number(self, key: str, default: float) -> float:
        value = self._find(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(f"{self._name}: {key}: a number is needed")
        return float(value)
