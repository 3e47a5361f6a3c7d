"""Decodes the settings in the simulator's first message and in the platform's configuration file.

Only this package knows the key names and the values of the settings. It makes no decisions and does no I/O.
Times are microseconds in the settings and float seconds in what the decoders return. Fields that the decoders
don't read are ignored. A field that they read raises `InvalidSettingsError` if it is missing, of the wrong
type or out of range.
"""

from gullmount.settings.errors import InvalidSettingsError, SettingsProblem
from gullmount.settings.instance import decode_instance_settings
from gullmount.settings.peer_vote import VOTE_NUMBERS, PeerVote, decode_peer_vote, encode_peer_vote
from gullmount.settings.sockets import SocketSettings, decode_socket_settings
from gullmount.settings.units import MICROSECONDS_PER_SECOND, seconds_from_microseconds

__all__ = [
    "MICROSECONDS_PER_SECOND",
    "VOTE_NUMBERS",
    "InvalidSettingsError",
    "PeerVote",
    "SettingsProblem",
    "SocketSettings",
    "decode_instance_settings",
    "decode_peer_vote",
    "decode_socket_settings",
    "encode_peer_vote",
    "seconds_from_microseconds",
]
