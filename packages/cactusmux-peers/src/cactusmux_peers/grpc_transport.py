"""Calls between instances over gRPC, with one channel per peer.

The process must call ``gevent.monkey.patch_all()`` and then
:func:`use_gevent` before it creates a transport.
"""

from collections.abc import Callable, Iterator
from concurrent import futures
import functools

from cactusmux_base import metrics as metrics_lib
import gevent
import grpc
from grpc.experimental import gevent as grpc_gevent
from returns import result

from . import transport

_SERVICE = 'cactusmux_peers.Peers'
# With gevent each is a greenlet that starts when it is needed.
_SERVER_WORKERS = 256
# Far above what a fleet sends at a time; further calls are refused.
_MAX_CALLS = 1024
_TOO_MANY_CALLS_TEXT = 'concurrent rpc limit'
# Peers wait no longer for their answers.
_MESSAGE_TIMEOUT_S = 5.0
_CLOSE_GRACE_S = 0.5
_OPTIONS = (
    ('grpc.max_receive_message_length', transport.MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', transport.MAX_MESSAGE_BYTES),
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.so_reuseport', 0),
    # The bandwidth-delay probe doubles the frames of a small call.
    ('grpc.http2.bdp_probe', 0),
    # At the planned fleet size, a peer in another region is called only
    # twice an hour; a shorter timeout would reconnect for every call.
    ('grpc.client_idle_timeout_ms', 4 * 3600 * 1000),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 1000),
)
_CONNECT_ERROR_TEXTS = ('failed to connect', 'connection refused')

_Stub = Callable[..., bytes]


@functools.cache
def use_gevent() -> None:
    """Makes gRPC cooperate with gevent; further calls have no effect."""
    grpc_gevent.init_gevent()


class GrpcTransport(transport.PeerTransport):
    """Server and client of peer calls over gRPC.

    :param listen_address: ``host:port``; port 0 selects a free port.
    """

    def __init__(
        self, listen_address: str, metrics: metrics_lib.Metrics
    ) -> None:
        self._metrics = metrics
        self._server = grpc.server(
            futures.ThreadPoolExecutor(_SERVER_WORKERS),
            options=_OPTIONS,
            maximum_concurrent_rpcs=_MAX_CALLS,
        )
        port = self._server.add_insecure_port(listen_address)
        host = listen_address.rpartition(':')[0]
        self._address = f'{host}:{port}'
        self._channel_by_address: dict[str, grpc.Channel] = {}
        self._stub_by_address: dict[str, dict[transport.Method, _Stub]] = {}

    @property
    def address(self) -> str:
        return self._address

    def serve(self, handler: transport.Handler) -> None:
        self._server.add_generic_rpc_handlers(
            (_generic_handler(handler, self._metrics),)
        )
        self._server.start()

    def call(
        self,
        peer_address: str,
        method: transport.Method,
        request: bytes,
        timeout_s: float,
    ) -> result.Result[bytes, transport.PeerError]:
        if len(request) > transport.MAX_MESSAGE_BYTES:
            return result.Failure(transport.MessageTooLarge(peer_address))
        stub = self._stub(peer_address, method)
        try:
            return result.Success(stub(request, timeout=timeout_s))
        except grpc.RpcError as error:
            failure = _to_failure(peer_address, error)
        if not isinstance(failure, transport.PeerRefused):
            # A new channel connects at once, instead of waiting for the
            # reconnect backoff or for a connection that hangs after a
            # network partition.
            self.forget(peer_address)
        return result.Failure(failure)

    def forget(self, peer_address: str) -> None:
        self._stub_by_address.pop(peer_address, None)
        channel = self._channel_by_address.pop(peer_address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        self._server.stop(_CLOSE_GRACE_S).wait()
        for peer_address in list(self._channel_by_address):
            self.forget(peer_address)

    def _stub(self, peer_address: str, method: transport.Method) -> _Stub:
        stub_by_method = self._stub_by_address.get(peer_address)
        if stub_by_method is None:
            channel = grpc.insecure_channel(peer_address, options=_OPTIONS)
            self._channel_by_address[peer_address] = channel
            stub_by_method = {
                known: channel.unary_unary(f'/{_SERVICE}/{known}')
                for known in transport.Method
            }
            self._stub_by_address[peer_address] = stub_by_method
        return stub_by_method[method]


def _generic_handler(
    handler: transport.Handler, metrics: metrics_lib.Metrics
) -> grpc.GenericRpcHandler:
    handler_by_method = {
        # A unary handler would wait for its message for as long as it takes.
        method.value: grpc.stream_unary_rpc_method_handler(
            _unary_handler(handler, method, metrics)
        )
        for method in transport.Method
    }
    return grpc.method_handlers_generic_handler(_SERVICE, handler_by_method)


def _unary_handler(
    handler: transport.Handler,
    method: transport.Method,
    metrics: metrics_lib.Metrics,
) -> Callable[[Iterator[bytes], grpc.ServicerContext], bytes]:
    def handle(
        requests: Iterator[bytes], context: grpc.ServicerContext
    ) -> bytes:
        try:
            return handler(method, _receive(requests))
        except transport.CallRefused as error:
            metrics.count(f'peers.refused.{method.lower()}')
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            raise

    return handle


def _receive(requests: Iterator[bytes]) -> bytes:
    """Returns the message of a call.

    :raises transport.CallRefused: if it doesn't arrive in time.
    """
    request = None
    with gevent.Timeout(_MESSAGE_TIMEOUT_S, False):
        request = next(requests, None)
    if request is None:
        raise transport.CallRefused('no message')
    return request


def _to_failure(
    peer_address: str, error: grpc.RpcError
) -> transport.PeerError:
    code = error.code()
    detail = error.details() or ''
    if code is grpc.StatusCode.INVALID_ARGUMENT:
        return transport.PeerRefused(peer_address, detail)
    if _TOO_MANY_CALLS_TEXT in detail.lower():
        return transport.PeerRefused(peer_address, detail)
    if code is grpc.StatusCode.RESOURCE_EXHAUSTED:
        return transport.MessageTooLarge(peer_address, detail)
    if code is grpc.StatusCode.UNAVAILABLE and any(
        text in detail.lower() for text in _CONNECT_ERROR_TEXTS
    ):
        return transport.PeerNotSent(peer_address, detail)
    return transport.PeerUnreachable(peer_address, detail)
