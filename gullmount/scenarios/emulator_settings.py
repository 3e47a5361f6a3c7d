"""The settings of emulators, made of a scenario's file."""

from __future__ import annotations

from random import Random

from gullmount.emulators.clients import ClientRoute, ClientSettings
from gullmount.emulators.release_controller import ReleaseControllerSettings
from gullmount.emulators.servers import ServerSettings
from gullmount.scenarios.config import (
    ReleaseControllerEmulatorConfig,
    RulesConfig,
    ScenarioConfig,
    ServersConfig,
)

# How far the true figures of a cold start may be better than what proxy instances are configured with: a part
# of what is missing of the capacity, and of the time.
COLD_SHARE_DRAW = 0.4
WARM_TIME_DRAW = 0.4


def server_settings(servers: ServersConfig, rules: RulesConfig, random: Random) -> ServerSettings:
    """Return what all servers have in common; draws how a cold start really goes."""
    cold_share = servers.cold_share + (1 - servers.cold_share) * COLD_SHARE_DRAW * random.random()
    warm_time = servers.warm_time * (1 - WARM_TIME_DRAW * random.random())
    return ServerSettings(
        cores=servers.cores,
        unhindered_requests=max(1, round(servers.cores * servers.slots_per_core)),
        queue_limit=max(1, round(servers.cores * servers.queue_per_core)),
        cold_capacity=cold_share,
        warm_up_time=warm_time,
        overload_multiple=rules.fall_multiple,
        overload_window=rules.fall_time,
        error_rate=servers.error_rate,
        cancellation=servers.stops,
        max_connections=servers.connections,
        handshake_time=servers.handshake_work,
        thrashing_factor=servers.thrash,
    )


def release_controller_settings(config: ReleaseControllerEmulatorConfig) -> ReleaseControllerSettings:
    """Return how releases advance."""
    return ReleaseControllerSettings(
        control=config.control,
        concurrent_candidates=config.at_once,
        keeps_baseline_beside=config.beside,
        stage_shares=tuple(config.shares),
        stage_exposure_limits=tuple(config.caps),
        bake_time=config.bake,
        stage_time=config.step,
        votes_to_promote=config.to_advance,
        votes_to_roll_back=config.back_votes,
        votes_to_hold=config.hold_votes,
        vote_lifetime=config.vote_life,
        votes_per_second=config.votes_per_s,
        answer_delay=config.answer_time,
        status_delay=config.told_late,
        push_interval=config.push_every,
        metrics_period=config.tally_period,
        metrics_sample_share=config.tally_sample,
        metrics_delay=config.tally_late,
    )


def client_settings(config: ScenarioConfig) -> ClientSettings:
    """Return how clients behave."""
    clients = config.clients
    return ClientSettings(
        clients.retries,
        clients.backoff,
        clients.backoff_time,
        clients.patience_share,
        clients.honour,
        clients.impatient,
        config.max_retry_after,
    )


def client_routes(config: ScenarioConfig) -> list[ClientRoute]:
    """Return what clients send on each route."""
    return [
        ClientRoute(
            route.name,
            route.method,
            route.path,
            route.share,
            route.work,
            route.spread,
            route.timeout,
            route.repeats,
            route.group,
            route.dedupe_window,
        )
        for route in config.routes
    ]
