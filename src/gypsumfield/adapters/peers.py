"""Control connections between entry hosts, over ZeroMQ.

One ROUTER socket receives, and one DEALER socket per peer sends. Except on loopback,
both use CURVE encryption, and the sender's key must be the one that is recorded for
its host id.
"""

from collections import deque
from collections.abc import Callable
from ipaddress import ip_address
from typing import Any
from typing import NamedTuple

import gevent
import zmq.green as zmq
from zmq.utils import z85

from gypsumfield.adapters.fair_reads import ReadTurn
from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import SettingsError
from gypsumfield.interfaces import ignore_invalid_host
from gypsumfield.interfaces import RecordInvalidHost

QUEUE_LIMIT = 256
SOCKET_QUEUE_LIMIT = 64
FLUSH_INTERVAL_MS = 20.0
IDLE_LIMIT_MS = 30_000.0
MESSAGE_LIMIT_BYTES = 64 * 1_048_576
BACKLOG_CONNECTIONS = 512
_ZAP_ENDPOINT = "inproc://zeromq.zap.01"
_USER_ID = "User-Id"


class PeerCredentials(NamedTuple):
    """CURVE key pair of a control socket, Z85-encoded; both empty on loopback."""

    public_key: str = ""
    secret_key: str = ""


class _Peer:
    """Connection to one peer, with the frames that are queued for it."""

    def __init__(self, host_id: str, address: str, public_key: str) -> None:
        self.host_id = host_id
        self.address = address
        self.public_key = public_key
        self.socket: Any = None
        self.queue: deque[bytes] = deque(maxlen=QUEUE_LIMIT)
        self.idle_ms = 0.0
        # Whether no connection can be opened with its address and key.
        self.is_invalid = False


class PeerTransport:
    """Sends frames to peers and receives theirs; `send` never blocks.

    Args:
        listen_address: IP address to listen on.
        listen_port: Port to listen on; 0 lets the operating system choose one.
        credentials: Key pair of this host.
        record_invalid_peer: Called once with the host id and the reason for an
            announced address or key with which no connection can be opened.

    Attributes:
        address: ``IP:PORT`` at which this host receives.
        dropped_count: Frames dropped because a queue was full or the peer
            unknown.
    """

    def __init__(
        self,
        listen_address: str,
        listen_port: int,
        credentials: PeerCredentials,
        record_invalid_peer: RecordInvalidHost = ignore_invalid_host,
    ) -> None:
        """Bind the receiving socket.

        Raises:
            SettingsError: Only one of the two keys is set, the address is not on
                loopback and no keys are set, or the address cannot be bound.
        """
        _check_credentials(listen_address, credentials)
        self._credentials = credentials
        self._record_invalid_peer = record_invalid_peer
        self._context = zmq.Context()
        self._peers: dict[str, _Peer] = {}
        self._greenlets: list[gevent.Greenlet] = []
        self.dropped_count = 0
        if credentials.public_key:
            self._greenlets.append(gevent.spawn(self._authenticate))
            gevent.sleep(0)
        self._router = self._new_socket(zmq.ROUTER)
        if credentials.public_key:
            self._router.curve_server = True
        try:
            self._router.bind(f"tcp://{listen_address}:{listen_port or '*'}")
        except zmq.ZMQError as error:
            raise SettingsError(
                f"control_address {listen_address}:{listen_port}: cannot bind: {error}"
            ) from error
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://")

    def start(self, receive: Callable[[bytes, str], None]) -> None:
        """Start to receive frames and to send queued frames.

        Args:
            receive: Called with each frame and the sender's public key, which
                is empty without CURVE.
        """
        self._greenlets.append(gevent.spawn(self._receive_all, receive))
        self._greenlets.append(gevent.spawn(self._flush_all))

    def set_peer(self, host_id: str, address: str, public_key: str = "") -> bool:
        """Add a peer, or change its address or key.

        Returns:
            Whether the peer is known now. Without keys a peer is accepted only on
            loopback, because the connection would not be secure.
        """
        is_secure = bool(public_key and self._credentials.public_key)
        if not address or not (is_secure or _is_loopback(address)):
            return False
        peer = self._peers.get(host_id)
        if peer and (peer.address, peer.public_key) == (address, public_key):
            return True
        self.remove_peer(host_id)
        self._peers[host_id] = _Peer(host_id, address, public_key)
        return True

    def remove_peer(self, host_id: str) -> None:
        """Close the connection to a peer and drop the frames that are queued for it."""
        peer = self._peers.pop(host_id, None)
        if peer and peer.socket is not None:
            peer.socket.close(linger=0)

    def is_peer_key(self, host_id: str, public_key: str) -> bool:
        """Return whether ``public_key`` is valid for a frame from ``host_id``."""
        if not self._credentials.public_key:
            return True
        peer = self._peers.get(host_id)
        return peer is not None and bool(public_key) and peer.public_key == public_key

    def send(self, host_id: str, frame: bytes) -> bool:
        """Queue a frame; the oldest one is dropped when the queue is full.

        Returns:
            Whether the host is a known peer with a valid address. Frames to other hosts
            are dropped.
        """
        peer = self._peers.get(host_id)
        if peer is None or peer.is_invalid:
            self.dropped_count += 1
            return False
        if len(peer.queue) == QUEUE_LIMIT:
            self.dropped_count += 1
        peer.queue.append(frame)
        peer.idle_ms = 0.0
        self._flush(peer)
        return not peer.is_invalid

    def stop(self) -> None:
        """Close all sockets; frames that have not been sent are dropped."""
        gevent.killall(self._greenlets)
        for host_id in list(self._peers):
            self.remove_peer(host_id)
        self._router.close(linger=0)
        self._context.destroy(linger=0)

    def _new_socket(self, kind: int) -> Any:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = SOCKET_QUEUE_LIMIT
        socket.rcvhwm = QUEUE_LIMIT
        socket.maxmsgsize = MESSAGE_LIMIT_BYTES
        socket.backlog = BACKLOG_CONNECTIONS
        if self._credentials.public_key:
            socket.curve_publickey = self._credentials.public_key.encode()
            socket.curve_secretkey = self._credentials.secret_key.encode()
        return socket

    def _connect(self, peer: _Peer) -> None:
        socket = peer.socket = self._new_socket(zmq.DEALER)
        # Frames wait in the queue of `_Peer`, where the oldest can be dropped, and not
        # in the socket's queue while the connection is not established.
        socket.immediate = 1
        if self._credentials.public_key and peer.public_key:
            socket.curve_serverkey = peer.public_key.encode()
        socket.connect(f"tcp://{peer.address}")

    def _flush(self, peer: _Peer) -> None:
        if peer.socket is None:
            try:
                self._connect(peer)
            except (zmq.ZMQError, ValueError) as error:
                # An error here would end the sending to all other peers.
                self._close(peer)
                self._drop_invalid(peer, str(error))
        while peer.queue:
            try:
                peer.socket.send(peer.queue[0], zmq.NOBLOCK)
            except zmq.Again:
                return
            peer.queue.popleft()

    def _drop_invalid(self, peer: _Peer, reason: str) -> None:
        peer.is_invalid = True
        self.dropped_count += len(peer.queue)
        peer.queue.clear()
        self._record_invalid_peer(peer.host_id, reason)

    def _flush_all(self) -> None:
        while True:
            gevent.sleep(FLUSH_INTERVAL_MS / MS_PER_S)
            for peer in list(self._peers.values()):
                if peer.queue:
                    self._flush(peer)
                elif peer.socket is not None:
                    self._close_idle(peer)

    def _close_idle(self, peer: _Peer) -> None:
        """Close a connection that is idle; the next frame opens it again."""
        peer.idle_ms += FLUSH_INTERVAL_MS
        if peer.idle_ms >= IDLE_LIMIT_MS:
            self._close(peer)

    def _close(self, peer: _Peer) -> None:
        peer.socket.close(linger=0)
        peer.socket = None

    def _receive_all(self, receive: Callable[[bytes, str], None]) -> None:
        turn = ReadTurn()
        while True:
            frames = self._router.recv_multipart(copy=False)
            data = frames[-1].bytes
            receive(data, _public_key_of(frames[-1]))
            turn.record(len(data))

    def _authenticate(self) -> None:
        socket = self._context.socket(zmq.REP)
        socket.linger = 0
        socket.bind(_ZAP_ENDPOINT)
        try:
            while True:
                self._answer_authentication(socket)
        finally:
            socket.close(linger=0)

    def _answer_authentication(self, socket: Any) -> None:
        """Answer one request of the ZeroMQ Authentication Protocol (ZAP, RFC 27)."""
        version, request_id, _, _, _, mechanism, *credentials = socket.recv_multipart()
        key = ""
        if mechanism == b"CURVE" and credentials:
            key = z85.encode(credentials[0]).decode()
        is_known = any(peer.public_key == key for peer in self._peers.values())
        status = (b"200", b"OK") if key and is_known else (b"400", b"unknown key")
        socket.send_multipart([version, request_id, *status, key.encode(), b""])


def _public_key_of(frame: Any) -> str:
    try:
        return str(frame.get(_USER_ID))
    except zmq.ZMQError:
        return ""


def _is_loopback(address: str) -> bool:
    try:
        return ip_address(address.rpartition(":")[0] or address).is_loopback
    except ValueError:
        return False


def _check_credentials(listen_address: str, credentials: PeerCredentials) -> None:
    if bool(credentials.public_key) != bool(credentials.secret_key):
        raise SettingsError(
            "control_public_key and control_secret_key must both be set or both empty"
        )
    if not credentials.public_key and not _is_loopback(listen_address):
        raise SettingsError(
            f"control_address {listen_address} is not on loopback: "
            "control_public_key and control_secret_key must be set"
        )
