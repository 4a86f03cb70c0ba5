"""Effects that the failure detector returns for the node to carry out."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from banyanline.core.membership.messages import MembershipMessage
from banyanline.core.membership.view import View
from banyanline.core.types import Endpoint, HostName


class SendProbeMessage(NamedTuple):
    """Send ``message`` to the balancer ``host`` at ``endpoint``."""

    host: HostName
    endpoint: Endpoint
    message: MembershipMessage


class ViewChanged(NamedTuple):
    """A host joined, left, died, came back or changed its location; ``view`` is the new view."""

    view: View


class RevisionSeen(NamedTuple):
    """The balancer ``host`` has a higher configuration revision than this one."""

    host: HostName
    revision: int


MembershipEffect: TypeAlias = SendProbeMessage | ViewChanged | RevisionSeen
