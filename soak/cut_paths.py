# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Cuts between instances and all backend servers, for real processes on loopback.

New connections of a cut instance are sent elsewhere by a library that is loaded into it. What flows
on its kept connections is held back by the servers, which find the process at the other end of a
connection in /proc.
"""

import asyncio
import os
import socket
import struct

from stand_ins import Servers

SERVER_PORT = 8080
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Elsewhere:
    """Addresses for connections that a cut stops: one where nothing answers, one where each
    connection is refused, one where each is reset at once."""

    def __init__(self, subnet):
        self._silent = socket.socket()
        self._silent.bind((f"127.{subnet}.9.1", 9000))
        self._silent.listen(0)
        self._fill = []
        for _ in range(4):  # The listener never accepts, so its queue stays full.
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((f"127.{subnet}.9.1", 9000))
            self._fill.append(filler)
        self._resets = socket.socket()
        self._resets.bind((f"127.{subnet}.9.2", 9000))
        self._resets.listen(64)
        self._resets.setblocking(False)
        asyncio.get_running_loop().add_reader(self._resets, self._reset)
        self.places = {"hang": f"127.{subnet}.9.1 9000", "refuse": f"127.{subnet}.9.3 9000",
                       "reset": f"127.{subnet}.9.2 9000"}

    def _reset(self):
        try:
            connection, _ = self._resets.accept()
        except OSError:
            return  # The connection has gone since.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()

    def close(self):
        asyncio.get_running_loop().remove_reader(self._resets)
        for one in [self._silent, self._resets, *self._fill]:
            one.close()


def owner_of(port, pids):
    """Returns the index in `pids` of the process that has a connection from this local port; None
    if none has."""
    with open("/proc/net/tcp", encoding="ascii") as table:
        wanted = f":{port:04X}"
        inodes = {row[9] for row in map(str.split, table)
                  if row[1].endswith(wanted) and row[2].endswith(f":{SERVER_PORT:04X}")}
    for index, pid in enumerate(pids):
        folder = f"/proc/{pid}/fd"
        try:
            links = [os.readlink(f"{folder}/{fd}") for fd in os.listdir(folder)]
        except OSError:
            continue  # The process has ended, or closed a descriptor meanwhile.
        if any(link[8:-1] in inodes for link in links if link.startswith("socket:[")):
            return index
    return None


class CutServers(Servers):
    """Servers that some instances don't reach for a while."""

    def __init__(self, instances, *arguments, **options):
        super().__init__(*arguments, **options)
        self._instances = instances
        self._ends = {}  # Number of a cut instance whose kept connections are silent to its end.
        self._connections = {}  # Number of an instance to the writers of its connections.

    def hold_back(self, number):
        self._ends[number] = asyncio.Event()

    def let_through(self, number):
        end = self._ends.pop(number, None)
        if end:
            end.set()

    def reset(self, number):
        for writer in list(self._connections.get(number, ())):
            reset_connection(writer)

    async def pass_cut(self, number):
        """Waits until nothing is held back between the instance and the servers."""
        while number in self._ends:
            await self._ends[number].wait()

    async def _serve(self, reader, writer, state):
        port = writer.get_extra_info("peername")[1]
        number = owner_of(port, [process.pid() for process in self._instances])
        mine = self._connections.setdefault(number, set())
        mine.add(writer)
        try:
            await super()._serve(HeldReader(reader, self, number), HeldWriter(writer, self, number),
                                 state)
        finally:
            mine.discard(writer)


def reset_connection(writer):
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class HeldReader:
    """A connection's reader that passes nothing on while its instance is cut off."""

    def __init__(self, reader, servers, number):
        self._reader, self._servers, self._number = reader, servers, number

    async def readuntil(self, end):
        data = await self._reader.readuntil(end)
        if self._number in self._servers._ends:
            await self._servers.pass_cut(self._number)
            if self._reader.at_eof():  # What its sender has taken back is lost.
                raise asyncio.IncompleteReadError(b"", None)
        return data

    async def readexactly(self, count):
        return await self._reader.readexactly(count)


class HeldWriter:
    """A connection's writer that sends nothing while its instance is cut off."""

    def __init__(self, writer, servers, number):
        self._writer, self._servers, self._number = writer, servers, number
        self._held = b""

    def write(self, data):
        self._held += data
        if self._number not in self._servers._ends:
            self._flush()

    def _flush(self):
        data, self._held = self._held, b""
        self._writer.write(data)

    async def drain(self):
        await self._servers.pass_cut(self._number)
        self._flush()
        await self._writer.drain()

    def close(self):
        self._writer.close()
