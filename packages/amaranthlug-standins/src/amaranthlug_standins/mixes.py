"""Mixes of requests of the sample deployments."""

from amaranthlug_standins.deployments import Deployment
from amaranthlug_standins.load import Mix, ServiceCall

LARGE_WEIGHT = 5.0
"""Load of a large organisation beside a small one's 1."""

LARGE = (
    "billing",
    "kaohsiung-fm",
    "taipei-air",
    "lisboa-baixa-visao",
    "porto-terapia",
    "hospital-santa-luz",
)

KINDS = {
    "hengyun": {
        "station-log": 0.3,
        "reconciliation": 0.1,
        "make-good": 0.15,
        "order-question": 0.3,
        "copy-note": 0.15,
    },
    "mapalimpo": {
        "room-description": 0.35,
        "obstacle-tags": 0.15,
        "carer-question": 0.35,
        "home-summary": 0.15,
    },
}

SERVICES = {
    "hengyun": (
        ServiceCall("traffic-desk", "GET", "/orders", True, 4.0),
        ServiceCall("traffic-desk", "PUT", "/logs", True, 2.0),
        ServiceCall("traffic-desk", "POST", "/make-goods", False, 2.0),
        ServiceCall("traffic-desk", "POST", "/invoices", False, 1.0),
    ),
    "mapalimpo": (
        ServiceCall("maps", "GET", "/maps", True, 4.0),
        ServiceCall("maps", "POST", "/uploads", False, 3.0),
        ServiceCall("maps", "PUT", "/labels", True, 1.0),
    ),
}


def sample_mix(deployment: Deployment, rate: float, duration_s: float) -> Mix:
    """Returns the mix of a sample deployment."""
    return Mix(
        rate=rate,
        duration_s=duration_s,
        kinds=KINDS[deployment.name],
        organisations={
            name: LARGE_WEIGHT if name in LARGE else 1.0
            for name in sorted(deployment.catalog.organisations)
        },
        services=SERVICES[deployment.name],
        zones=deployment.zones,
    )
