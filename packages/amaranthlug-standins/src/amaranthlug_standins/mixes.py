"""Request mixes of the sample deployments."""

from amaranthlug_standins.deployments import Deployment
from amaranthlug_standins.load import Mix, ServiceCall

LARGE_ORGANISATION_WEIGHT = 5.0
"""Weight of a large organisation in a mix; that of a small one is 1."""

LARGE_ORGANISATIONS = (
    "billing",
    "kaohsiung-fm",
    "taipei-air",
    "lisboa-baixa-visao",
    "porto-terapia",
    "hospital-santa-luz",
)

KIND_WEIGHTS = {
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

SERVICE_CALLS = {
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
    """Returns the mix of a sample deployment at a rate in requests a second."""
    return Mix(
        rate=rate,
        duration_s=duration_s,
        kinds=KIND_WEIGHTS[deployment.name],
        organisations={
            name: LARGE_ORGANISATION_WEIGHT
            if name in LARGE_ORGANISATIONS
            else 1.0
            for name in sorted(deployment.catalog.organisations)
        },
        services=SERVICE_CALLS[deployment.name],
        zones=deployment.zones,
    )
