"""Decodes and encodes the platform's settings file."""

import os
from pathlib import Path
from typing import Annotated

import msgspec

from ibisplank.errors import SettingError
from ibisplank.gateway import GatewaySettings, RetryLimits
from ibisplank.ids import VmId, ZoneId
from ibisplank.platform._names import SETTINGS_VARIABLE

#: Port on which a gateway serves its metrics; `deploy/system.toml` states it
#: too.
METRICS_PORT = 9464
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class LimitsTable(msgspec.Struct, rename='camel'):
    """The fields of table `self.limits` that a gateway uses."""

    link_mbps: NonNegative = 0.0
    memory_mb: NonNegative = 0.0


class SelfTable(msgspec.Struct, rename='camel'):
    """Table `self`."""

    node_name: str
    ip: str
    zone: str
    limits: LimitsTable = msgspec.field(default_factory=LimitsTable)


class ListenTable(msgspec.Struct, rename='camel'):
    """Table `network.listenAddrs`."""

    frontend: str
    readiness: str
    control_plane: str


class NetworkTable(msgspec.Struct, rename='camel'):
    """Table `network`."""

    listen_addrs: ListenTable
    seed_nodes: list[str] = []


class StoreTable(msgspec.Struct):
    """Table `provider.provider`."""

    address: str


class ProviderTable(msgspec.Struct):
    """Table `provider`."""

    provider: StoreTable


class BoundsTable(msgspec.Struct, rename='camel'):
    """The fields of table `timers.bounds` that a gateway uses."""

    grace_s: NonNegative
    retry_budget_ratio: NonNegative
    budget_window_s: NonNegative
    budget_slack: NonNegative


class TimersTable(msgspec.Struct):
    """Table `timers`."""

    bounds: BoundsTable


class SettingsFile(msgspec.Struct):
    """The settings file; fields that are not declared here are ignored."""

    own: SelfTable = msgspec.field(name='self')
    network: NetworkTable
    provider: ProviderTable
    timers: TimersTable


def read_settings(path: Path | None = None) -> GatewaySettings:
    """Return the settings read from a file.

    Parameters
    ----------
    path : Path or None
        The settings file; None takes the path from the platform's
        environment variable.

    Raises
    ------
    SettingError
        The path is not set, or the file is missing or invalid.
    """
    if path is None:
        path_text = os.environ.get(SETTINGS_VARIABLE)
        if not path_text:
            raise SettingError(f'set {SETTINGS_VARIABLE} to the settings file')
        path = Path(path_text)
    try:
        document = path.read_bytes()
    except OSError as error:
        raise SettingError(f'settings file: {error}; check its path') from error
    return parse_settings(document)


def parse_settings(document: bytes) -> GatewaySettings:
    """Return the settings parsed from a TOML document.

    Raises
    ------
    SettingError
        The document is not TOML, or a field is missing or has an invalid
        value.
    """
    try:
        settings_file = msgspec.toml.decode(document, type=SettingsFile)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingError(f'settings: {error}; correct that field') from error
    own = settings_file.own
    listen = settings_file.network.listen_addrs
    bounds = settings_file.timers.bounds
    return GatewaySettings(
        vm=VmId(own.node_name),
        zone=ZoneId(own.zone),
        callers=listen.frontend,
        readiness=listen.readiness,
        peer=listen.control_plane,
        metrics=f'{own.ip}:{METRICS_PORT}',
        store=settings_file.provider.provider.address,
        seeds=tuple(settings_file.network.seed_nodes),
        grace_s=bounds.grace_s,
        retry=RetryLimits(
            bounds.retry_budget_ratio,
            bounds.budget_slack,
            bounds.budget_window_s,
        ),
        link_mbps=own.limits.link_mbps,
        memory_mb=own.limits.memory_mb,
    )


def encode_settings(settings: GatewaySettings) -> bytes:
    """Return a settings file in the platform's format.

    Gateways that run against the stand-ins are started with such a file.
    """
    settings_file = SettingsFile(
        SelfTable(
            settings.vm,
            settings.metrics.partition(':')[0],
            settings.zone,
            LimitsTable(settings.link_mbps, settings.memory_mb),
        ),
        NetworkTable(
            ListenTable(settings.callers, settings.readiness, settings.peer),
            list(settings.seeds),
        ),
        ProviderTable(StoreTable(settings.store)),
        TimersTable(
            BoundsTable(
                settings.grace_s,
                settings.retry.ratio,
                settings.retry.window_s,
                settings.retry.slack,
            ),
        ),
    )
    return msgspec.toml.encode(settings_file)
