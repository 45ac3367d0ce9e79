"""A client that resumes a stream gets pieces that it has already."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import world as w  # noqa: E402

EVENTS = 40
GAP_S = 0.1
# The servers number their events on from here: 18 digits, 58 bits.
BASE = 202612050000000000
ROUNDS = 3


async def run(server, request, writer):
    """Writes the events after `Last-Event-Id`, as a sound server does."""
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines += ['Transfer-Encoding: chunked']
    lines += [f'{k}: {v}' for k, v in server.seal(request).items()]
    await asyncio.sleep(0.05)
    writer.write('\r\n'.join([*lines, '', '']).encode())
    last = int(request.headers.get('last-event-id', BASE))
    server.record.add('run_begins', server=server.id, after=last)
    for number in range(last + 1, BASE + EVENTS + 1):
        await asyncio.sleep(GAP_S)
        data = b'id: %d\ndata: token %d\n\n' % (number, number - BASE)
        writer.write(b'%x\r\n%s\r\n' % (len(data), data))
        await writer.drain()
    writer.write(b'0\r\n\r\n')
    return True


class Stream:
    """One attempt of a client, read event by event."""

    def __init__(self, record):
        self.record = record
        self.pieces = []
        self.status = 0
        self.is_complete = False

    async def read(self, machine, last=None, on_event=None):
        w.Client.count += 1
        request_id = f'{w.Client.count:016x}'
        body = b'draft'
        lines = [
            'POST /draft/1 HTTP/1.1',
            'Host: ficu95.example',
            f'X-Cactusmux-Request-Id: {request_id}',
            'X-Cactusmux-Model: m',
            'X-Cactusmux-Token-Counts: 774,210',
            'X-Cactusmux-Prompt-Prefix: 5c1e07a2:40,91bd3f06:734',
            'X-Cactusmux-Deadline-Milliseconds: 20000',
            'Authorization: Bearer key-1',
            f'Content-Length: {len(body)}',
        ]
        if last is not None:
            lines.append(f'Last-Event-Id: {last}')
        self.record.add(
            'client_sent', machine=machine.name, request=request_id, last=last
        )
        writer = None
        try:
            async with asyncio.timeout(20):
                reader, writer = await asyncio.open_connection(*machine.front)
                writer.write('\r\n'.join([*lines, '', '']).encode() + body)
                head = await w.read_head(reader)
                self.status = int(head.first.split(' ')[1])
                if self.status == 200:
                    await self._read_events(reader, on_event)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        self.record.add(
            'client_got', machine=machine.name, request=request_id,
            status=self.status, complete=self.is_complete,
            pieces=','.join(str(each - BASE) for each in self.pieces),
        )

    async def _read_events(self, reader, on_event):
        rest = b''
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line, 16)
            rest += (await reader.readexactly(size + 2))[:-2]
            if not size:
                self.is_complete = True
                return
            while b'\n\n' in rest:
                event, _, rest = rest.partition(b'\n\n')
                self.pieces.append(int(event.split(b'\n')[0][4:]))
                if on_event is not None:
                    await on_event(len(self.pieces))


async def play(world, trouble):
    record = world.record
    await world.begin(machines=2, models=2, run_model=run)
    first, second = world.machines
    until = w.now() + 25.0
    while True:
        probe = Stream(record)
        await probe.read(first)
        if probe.status == 200:
            break
        if w.now() > until:
            raise w.CannotRun('no stream is served')
        await asyncio.sleep(0.5)
    wrong = []
    for round_number in range(ROUNDS):
        stream = Stream(record)

        async def kill(count, after=9 + 3 * round_number):
            if trouble and count == after:
                record.add('machine_killed', name=first.name)
                await first.stop()

        await stream.read(first, on_event=kill)
        pieces = list(stream.pieces)
        if not stream.is_complete:
            again = Stream(record)
            await again.read(second, last=pieces[-1])
            pieces += again.pieces
            await first.start()
            await first.await_ready()
            await asyncio.sleep(3.0)
        numbers = [each - BASE for each in pieces]
        if numbers != list(range(1, EVENTS + 1)):
            wrong.append(round_number)
            record.add('wrong', pieces=','.join(map(str, numbers)))
    if wrong:
        return (
            f'ORDER: {len(wrong)} of {ROUNDS} streams that were resumed by'
            ' their client brought pieces twice or left some out'
        )
    return ''


w.main(play, trouble=os.environ.get('TROUBLE', '1') != '0')
