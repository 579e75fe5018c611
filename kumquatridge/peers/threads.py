"""Bounds the threads that pynng's library starts for a process."""

import pynng

THREADS_PER_POOL = 1


def bound_threads() -> None:
    """Bounds each pool; has no effect once a socket has been opened.

    Without it the library sizes its pools by the processors of the machine.
    """
    library = pynng.lib
    for parameter in (
        library.NNG_INIT_NUM_TASK_THREADS,
        library.NNG_INIT_NUM_EXPIRE_THREADS,
        library.NNG_INIT_NUM_POLLER_THREADS,
        library.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        library.nng_init_set_parameter(parameter, THREADS_PER_POOL)
