"""Limits the threads that NNG, the library under pynng, starts."""

import pynng

THREADS_PER_POOL = 1


def limit_threads() -> None:
    """Limits each thread pool of NNG to `THREADS_PER_POOL`.

    By default NNG sizes its pools by the number of processors. The call has
    no effect once a socket has been opened.
    """
    library = pynng.lib
    for parameter in (
        library.NNG_INIT_NUM_TASK_THREADS,
        library.NNG_INIT_NUM_EXPIRE_THREADS,
        library.NNG_INIT_NUM_POLLER_THREADS,
        library.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        library.nng_init_set_parameter(parameter, THREADS_PER_POOL)
