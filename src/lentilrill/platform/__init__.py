"""Clients and servers for the interfaces of the users' platform.

This package converts between the wire formats and the product's types; names of the wire formats
are used nowhere else.
"""

from lentilrill.platform._endpoints import HttpEndpoint
from lentilrill.platform._hosts import PlatformHosts
from lentilrill.platform._ingress import Ingress, plain_text_server
from lentilrill.platform._kv import PlatformKeyValue
from lentilrill.platform._policy import PlatformPolicy
from lentilrill.platform._records import (
    CONFIGURATION_KEY,
    ENDPOINTS_PREFIX,
    OPERATORS_PREFIX,
    WAVES_PREFIX,
    decode_configuration,
    decode_endpoint,
    decode_wave,
    encode_wave_state,
    wave_state_key,
)

__all__ = [
    "CONFIGURATION_KEY",
    "ENDPOINTS_PREFIX",
    "OPERATORS_PREFIX",
    "WAVES_PREFIX",
    "HttpEndpoint",
    "Ingress",
    "PlatformHosts",
    "PlatformKeyValue",
    "PlatformPolicy",
    "decode_configuration",
    "decode_endpoint",
    "decode_wave",
    "encode_wave_state",
    "plain_text_server",
    "wave_state_key",
]
