"""Who is in the fleet, as far as this process can tell, and whether it may act on that."""

from banyanline.core.membership.detector import Membership
from banyanline.core.membership.effects import (
    MembershipEffect,
    RevisionSeen,
    SendProbeMessage,
    ViewChanged,
)
from banyanline.core.membership.messages import (
    MembershipMessage,
    MemberStatus,
    MemberUpdate,
    Place,
    Probe,
    ProbeAck,
    ProbeRequest,
)
from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.membership.view import Member, View

__all__ = [
    # the failure detector
    "Membership",
    "MembershipSettings",
    # what it holds
    "Member",
    "MemberStatus",
    "View",
    # what it asks for
    "MembershipEffect",
    "RevisionSeen",
    "SendProbeMessage",
    "ViewChanged",
    # datagrams
    "MembershipMessage",
    "MemberUpdate",
    "Place",
    "Probe",
    "ProbeAck",
    "ProbeRequest",
]
