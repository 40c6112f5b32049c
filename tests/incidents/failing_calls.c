/* Preloaded into a gatekeeper: makes system calls fail, or transfer few bytes, as a plan file says. The file holds four
 * 32-bit integers for each call: errno (0: none), the number of failures (negative: until the plan changes), the most
 * bytes of a read or write (0: no limit), and how many calls have failed. The third number of WALL_CLOCK is the step of
 * the wall clock in seconds. The errors are those of accept(2), socket(2), connect(2), read(2) and write(2). */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, SOCKET, CONNECT, RECEIVE, SEND, WALL_CLOCK, CALLS };
struct plan { volatile int32_t error, times, bytes, failed; };
static struct plan *plans;

static void map_plan(void) {
    static struct plan none[CALLS];
    const char *path = getenv("FAILING_CALLS_PLAN");
    int file = path != NULL ? open(path, O_RDWR) : -1;
    void *mapped = file < 0 ? MAP_FAILED : mmap(NULL, sizeof none, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    plans = mapped == MAP_FAILED ? none : mapped;
    if (file >= 0) close(file);
}

static int should_fail(int call) {
    if (plans == NULL) map_plan();
    struct plan *plan = &plans[call];
    if (plan->error == 0 || plan->times == 0) return 0;
    if (plan->times > 0) plan->times--;
    plan->failed++;
    errno = plan->error;
    return 1;
}

static size_t limit_size(int call, size_t size) {
    if (plans == NULL) map_plan();
    int32_t max_bytes = plans[call].bytes;
    return max_bytes > 0 && size > (size_t)max_bytes ? (size_t)max_bytes : size;
}

static int is_tcp(int fd) {
    int type = 0, domain = 0, listening = 0;
    socklen_t size = sizeof type;
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) != 0 || type != SOCK_STREAM) return 0;
    size = sizeof domain;
    if (getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) != 0 || domain != AF_INET) return 0;
    size = sizeof listening;
    getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size);
    return !listening;
}

#define REAL(name) static __typeof__(&name) real; if (real == NULL) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    return should_fail(ACCEPT) ? -1 : real(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    return should_fail(ACCEPT) ? -1 : real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return domain == AF_INET && (type & 0xf) == SOCK_STREAM && should_fail(SOCKET) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    return address->sa_family == AF_INET && should_fail(CONNECT) ? -1 : real(fd, address, size);
}

ssize_t read(int fd, void *data, size_t size) {
    REAL(read);
    if (!is_tcp(fd)) return real(fd, data, size);
    return should_fail(RECEIVE) ? -1 : real(fd, data, limit_size(RECEIVE, size));
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    REAL(recv);
    if (!is_tcp(fd)) return real(fd, data, size, flags);
    return should_fail(RECEIVE) ? -1 : real(fd, data, limit_size(RECEIVE, size), flags);
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(write);
    if (!is_tcp(fd)) return real(fd, data, size);
    return should_fail(SEND) ? -1 : real(fd, data, limit_size(SEND, size));
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    REAL(send);
    if (!is_tcp(fd)) return real(fd, data, size, flags);
    return should_fail(SEND) ? -1 : real(fd, data, limit_size(SEND, size), flags);
}

static ssize_t write_first_part(int fd, const struct iovec *parts, size_t count) {
    REAL(write);
    for (size_t part = 0; part < count; part++)
        if (parts[part].iov_len > 0) return real(fd, parts[part].iov_base, limit_size(SEND, parts[part].iov_len));
    return 0;
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (!is_tcp(fd)) return real(fd, parts, count);
    if (should_fail(SEND)) return -1;
    return plans[SEND].bytes > 0 ? write_first_part(fd, parts, (size_t)count) : real(fd, parts, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    if (!is_tcp(fd)) return real(fd, message, flags);
    if (should_fail(SEND)) return -1;
    return plans[SEND].bytes > 0 ? write_first_part(fd, message->msg_iov, message->msg_iovlen) : real(fd, message, flags);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(clock, now);
    if (plans == NULL) map_plan();
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        now->tv_sec += plans[WALL_CLOCK].bytes;
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    REAL(gettimeofday);
    int result = real(now, zone);
    if (plans == NULL) map_plan();
    if (result == 0) now->tv_sec += plans[WALL_CLOCK].bytes;
    return result;
}
