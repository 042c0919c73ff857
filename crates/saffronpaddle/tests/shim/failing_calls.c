/* Makes system calls of a test process fail by a seeded plan; preloaded with LD_PRELOAD.
 *
 * FAILING_CALLS holds comma-separated pairs NAME=PERCENT, with the names accept, connect, socket, recv, send and
 * short. A call that fails returns an error that its manual page documents as temporary; `short` shortens reads and
 * writes to 1 to 7 bytes. FAILING_SEED seeds the random draws. FAILING_AFTER_MS is the time after the start of the
 * process before which no call fails. Only calls on IPv4 and IPv6 sockets fail, not those on Unix sockets, unless
 * FAILING_UNIX is set: then `send` on a Unix socket is interrupted, too.
 *
 * HELD_EPOLL_MS holds the process for that long each time that `epoll_wait` returns, without a wait, as a thread that is
 * preempted then. STOPPED_SEND is the path of a file: once it exists, the process stops itself
 * by SIGSTOP after the next `send`, in the middle of an iteration of its event loop. With STOPPED_EPOLL, it does so once
 * more as the next call of `epoll_wait` returns. STOPPED_PEEK is such a file, too: the process stops itself before the
 * next `recv` that only peeks, as between the choice of a connection and the last check of it. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static uint64_t state = 88172645463325252ULL;
static int percent[6];
static int64_t begins_ms;
static int unix_too;
static int64_t held_epoll_ms;
static const char *stop_file, *peek_stop_file;
static int stops_epoll, was_stopped, was_stopped_at_peek;
enum { ACCEPT, CONNECT, SOCKET, RECV, SEND, SHORT };
static const char *names[6] = {"accept", "connect", "socket", "recv", "send", "short"};

static int64_t now_ms(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

__attribute__((constructor)) static void read_plan(void) {
    const char *seed = getenv("FAILING_SEED"), *plan = getenv("FAILING_CALLS"), *after = getenv("FAILING_AFTER_MS");
    if (seed) state ^= strtoull(seed, NULL, 10) * 0x9e3779b97f4a7c15ULL;
    begins_ms = now_ms() + (after ? atoll(after) : 0);
    unix_too = getenv("FAILING_UNIX") != NULL;
    held_epoll_ms = getenv("HELD_EPOLL_MS") ? atoll(getenv("HELD_EPOLL_MS")) : 0;
    stop_file = getenv("STOPPED_SEND");
    peek_stop_file = getenv("STOPPED_PEEK");
    stops_epoll = getenv("STOPPED_EPOLL") != NULL;
    for (int call = 0; plan && call < 6; call++) {
        const char *found = strstr(plan, names[call]);
        if (found) percent[call] = atoi(found + strlen(names[call]) + 1);
    }
}

static uint64_t draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int fails(int call) {
    return percent[call] > 0 && now_ms() >= begins_ms && (int)(draw() % 100) < percent[call];
}

static int is_internet(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    int before = errno;
    int known = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0;
    errno = before;
    return known && (domain == AF_INET || domain == AF_INET6);
}

static int is_stream(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    int before = errno;
    int known = getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
    errno = before;
    return known && type == SOCK_STREAM;
}

static int fail_with(const int *errors, size_t count) {
    errno = errors[draw() % count];
    return -1;
}

static size_t cut(int fd, size_t length) {
    return fails(SHORT) && length > 1 && is_internet(fd) && is_stream(fd) ? 1 + draw() % 7 % length : length;
}

#define REAL(result, name, ...) \
    static result (*real)(__VA_ARGS__); \
    if (!real) real = (result(*)(__VA_ARGS__))dlsym(RTLD_NEXT, name)

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR, ENOMEM, EPROTO, ENETDOWN, EHOSTUNREACH};
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    if (is_internet(fd) && fails(ACCEPT)) return fail_with(errors, sizeof errors / sizeof *errors);
    return real(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENOBUFS, ENETUNREACH, EHOSTUNREACH, EAGAIN};
    REAL(int, "connect", int, const struct sockaddr *, socklen_t);
    if (is_internet(fd) && is_stream(fd) && fails(CONNECT)) return fail_with(errors, sizeof errors / sizeof *errors);
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS, ENOMEM};
    REAL(int, "socket", int, int, int);
    if ((domain == AF_INET || domain == AF_INET6) && fails(SOCKET)) return fail_with(errors, sizeof errors / sizeof *errors);
    return real(domain, type, protocol);
}

static int interrupted(int fd, int call) {
    if (!(is_internet(fd) || (unix_too && call == SEND)) || !fails(call)) return 0;
    errno = EINTR;
    return 1;
}

static void stop_before_peek(int flags) {
    if (!(flags & MSG_PEEK) || !peek_stop_file || was_stopped_at_peek) return;
    if (access(peek_stop_file, F_OK) != 0) return;
    was_stopped_at_peek = 1;
    raise(SIGSTOP);
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    REAL(ssize_t, "recv", int, void *, size_t, int);
    stop_before_peek(flags);
    if (interrupted(fd, RECV)) return -1;
    return real(fd, bytes, cut(fd, length), flags);
}

ssize_t recvfrom(int fd, void *bytes, size_t length, int flags, struct sockaddr *address, socklen_t *size) {
    REAL(ssize_t, "recvfrom", int, void *, size_t, int, struct sockaddr *, socklen_t *);
    if (interrupted(fd, RECV)) return -1;
    return real(fd, bytes, length, flags, address, size);
}

static ssize_t stop_after(ssize_t sent) {
    int error = errno;
    if (stop_file && !was_stopped && access(stop_file, F_OK) == 0) {
        was_stopped = 1;
        raise(SIGSTOP);
    }
    errno = error;
    return sent;
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    REAL(ssize_t, "send", int, const void *, size_t, int);
    if (interrupted(fd, SEND)) return -1;
    return stop_after(real(fd, bytes, cut(fd, length), flags));
}

ssize_t sendto(int fd, const void *bytes, size_t length, int flags, const struct sockaddr *address, socklen_t size) {
    REAL(ssize_t, "sendto", int, const void *, size_t, int, const struct sockaddr *, socklen_t);
    if (interrupted(fd, SEND)) return -1;
    return real(fd, bytes, length, flags, address, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(ssize_t, "writev", int, const struct iovec *, int);
    if (interrupted(fd, SEND)) return -1;
    if (count > 0 && cut(fd, parts[0].iov_len) < parts[0].iov_len) {
        struct iovec first = {parts[0].iov_base, 1 + parts[0].iov_len % 7 % parts[0].iov_len};
        return stop_after(real(fd, &first, 1));
    }
    return stop_after(real(fd, parts, count));
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(ssize_t, "readv", int, const struct iovec *, int);
    if (interrupted(fd, RECV)) return -1;
    return real(fd, parts, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(ssize_t, "sendmsg", int, const struct msghdr *, int);
    if (interrupted(fd, SEND)) return -1;
    return real(fd, message, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
    int result = real(fd, events, count, timeout), error = errno;
    int64_t until = now_ms() + held_epoll_ms;
    while (held_epoll_ms > 0 && now_ms() < until) {}
    if (stops_epoll && was_stopped) {
        stops_epoll = 0;
        raise(SIGSTOP);
    }
    errno = error;
    return result;
}
