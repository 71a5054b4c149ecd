"""Decode the platform's settings file of a process."""

import pathlib
import tomllib

from bilberryramp.decisions.shared import errors
from bilberryramp.settings import fleet

__all__ = ["MalformedSettingsError", "PATH_VARIABLE", "read"]

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "BILBERRYRAMP_SETTINGS"
# Part of the platform's rules by which engines end for want of memory.
_PRESSURE = "pressure"


class MalformedSettingsError(errors.BilberryError):
    """Raised when the settings file is invalid; names the file and field."""


def read(path: str) -> fleet.NodeSettings:
    """Read and decode the settings file.

    Parameters
    ----------
    path
        Path of the file, which is in TOML.

    Returns
    -------
    NodeSettings
        The settings, independent of the file's format.

    Raises
    ------
    MalformedSettingsError
        When the file cannot be read or is not TOML, or a field is missing or
        has the wrong type.
    """
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        return _decode(raw)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise MalformedSettingsError(f"{path}: {exc}") from exc
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise MalformedSettingsError(
            f"{path}: missing or invalid field: {exc!r}"
        ) from exc


def _decode(raw: dict) -> fleet.NodeSettings:
    bounds = raw["bounds"]
    listen = raw["listen"]
    first_port, last_port = raw["internalPorts"]
    return fleet.NodeSettings(
        name=raw["nodeName"],
        ip=raw["ip"],
        failure_domain=raw["zone"],
        peer_ports=(int(first_port), int(last_port)),
        seeds=tuple(_host_of(seed) for seed in raw["seeds"]),
        # True only while the whole fleet starts for the first time.
        is_first_start=bool(raw["bootstrap"]),
        data_folder=raw.get("dataDir", ""),
        client_address=listen.get("front", ""),
        readiness_address=listen.get("ready", ""),
        operator_address=listen.get("control", ""),
        # Address of the engine on the same instance, if there is one.
        engine_address=raw.get("app", ""),
        heartbeat_ms=int(raw["heartbeatMs"]),
        grace_ms=int(1000 * bounds["graceS"]),
        drain_ms=int(bounds["drainMs"]),
        apply_ms=int(bounds["configApplyMs"]),
        order_lease_ms=int(bounds.get("leaseMs", 3000)),
        retry_ratio=float(bounds["retryBudgetRatio"]),
        retry_slack=float(bounds["budgetSlack"]),
        retry_window_ms=int(1000 * bounds["budgetWindowS"]),
        memory_mb=int(raw["limits"]["memoryMb"]),
        link_mbps=float(raw["limits"]["linkMbps"]),
        max_descriptors=int(raw["limits"].get("maxFds", 0)),
        usage_window_ms=int(1000 * bounds.get("quotaWindowS", 1)),
        usage_overage=float(bounds.get("quotaOverage", 0)),
        usage_slack=float(bounds.get("quotaSlack", 0)),
        engine_memory_binds=_PRESSURE in raw.get("contracts", ()),
        tolerated_losses=int(raw.get("faultTolerance", {}).get("machines", 0)),
    )


def _host_of(address: str) -> str:
    return address.rpartition(":")[0]
