import time

from cactusmux_base import timers
from cactusmux_relay import http_server
import gevent
from gevent import socket

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
WORK_S = 0.05


def _respond_late(_request, answerer):
    gevent.sleep(WORK_S)
    answerer.answer(200, [(b'connection', b'close')], b'-')


def test_stop_does_not_fail_if_a_request_ends_while_it_looks():
    served = http_server.HttpServer(
        '127.0.0.1:0', _respond_late, timers.GeventTimers()
    )
    served.start()
    address = ('127.0.0.1', served.port)
    idle, busy = [socket.create_connection(address) for _ in range(2)]
    gevent.sleep(WORK_S)
    busy.sendall(REQUEST)
    gevent.sleep(WORK_S / 2)
    stop = gevent.spawn_later(WORK_S / 2, served.stop)
    gevent.sleep(0)
    # The stop and the end of the request are due in one turn of the loop.
    time.sleep(WORK_S)
    stop.get(timeout=5.0)
    assert busy.recv(1000).startswith(b'HTTP/1.1 200')
    idle.close()
    busy.close()
