"""A caller with a small receive window that reads its answer slowly at first. Prints how its connection ended, as JSON."""
import json
import socket
import sys
import time

SLOW_BYTES_PER_S = 20_000
READ_INTERVAL_S = 0.05


def main():
    address, port, request, slow_s = sys.argv[1], int(sys.argv[2]), sys.argv[3], float(sys.argv[4])
    caller = socket.socket()
    # A device with little memory: a window of a few kilobytes, and the segment size that every IPv4 host accepts.
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
    caller.settimeout(20)
    caller.connect((address, port))
    caller.sendall(request.replace("\\r\\n", "\r\n").encode())
    started_at = time.monotonic()
    answer = b""
    length = None
    end = "closed"
    while length is None or len(answer) < length:
        is_slow = time.monotonic() - started_at < slow_s
        try:
            part = caller.recv(int(SLOW_BYTES_PER_S * READ_INTERVAL_S) if is_slow else 65536)
        except OSError as error:
            end = type(error).__name__
            break
        if part == b"":
            break
        answer += part
        head, separator, _ = answer.partition(b"\r\n\r\n")
        if length is None and separator != b"":
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
            length = len(head) + 4 + int(fields[b"content-length"])
        if is_slow:
            time.sleep(READ_INTERVAL_S)
    is_complete = length is not None and len(answer) == length
    print(json.dumps({
        "end": "complete" if is_complete else end,
        "statusLine": answer.split(b"\r\n", 1)[0].decode("latin1"),
        "bytes": len(answer),
        "expectedBytes": length,
        "endedAfterMs": round(1000 * (time.monotonic() - started_at)),
    }))


main()
