"""A reserved port is free for the program that it is meant for, and for nobody else."""

import contextlib
import socket
import unittest

from trestlestall.standins import addresses


def can_bind(port: int) -> bool:
    """Return whether another program gets the port, without ``SO_REUSEADDR``."""
    with contextlib.closing(socket.socket()) as other:
        try:
            other.bind((addresses.LOOPBACK, port))
        except OSError:
            return False
        return True


class ReservationTest(unittest.TestCase):
    def test_a_program_that_restarts_gets_its_port_again(self):
        # Regression: a reservation ended after a minute.
        port = addresses.reserve_port()
        for _ in range(2):
            self.assertFalse(can_bind(port))
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection((addresses.LOOPBACK, port))
            with socket.create_server((addresses.LOOPBACK, port)) as listener:
                near = socket.create_connection(listener.getsockname())
                far, _ = listener.accept()
                near.close()
                far.close()

    def test_it_is_held_by_a_socket_and_not_by_a_connection_that_ends(self):
        port = addresses.reserve_port()
        held = {one.getsockname()[1] for one in addresses.RESERVATIONS}
        self.assertIn(port, held)


if __name__ == "__main__":
    unittest.main()
