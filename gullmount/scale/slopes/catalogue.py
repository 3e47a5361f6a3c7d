"""All measurements by name."""

from __future__ import annotations

from gullmount.scale.slopes import (
    configuration_costs,
    discovery_watches,
    endpoint_updates,
    router_costs,
    server_connections,
)

MEASUREMENTS = {
    measurement.name: measurement
    for module in (
        router_costs,
        endpoint_updates,
        discovery_watches,
        configuration_costs,
        server_connections,
    )
    for measurement in module.MEASUREMENTS
}
