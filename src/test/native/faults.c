/*
 * Fault injection for a relay's process, loaded by tests with LD_PRELOAD: system calls fail, transfer too few bytes or
 * are delayed, and the wall clock is stepped. The monotonic clock is unaffected.
 *
 * FAULT_RULES names a file with one rule on each line: CALL SKIP COUNT ERROR [PART]. Once the file has been written,
 * calls of that name whose address or path contains PART are counted: the first SKIP succeed, the next COUNT fail with
 * the errno ERROR. A negative ERROR delays the call by that many milliseconds instead; with 0, a read or write of a
 * socket transfers one byte, and one of a file all bytes but one. "listener_close" is the close of a listening socket,
 * and can only be delayed. WALL_STEP names a file with the seconds by which the wall clock is ahead.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MOST_RULES 32
#define REAL(name) static typeof(&name) real; if (!real) real = (typeof(&name)) dlsym(RTLD_NEXT, #name)

struct rule { char call[16]; long skip, count, error, seen; char part[200]; };

static struct rule rules[MOST_RULES];
static int rule_count;
static struct timespec loaded;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int in_java(void) {
    static int is = -1;
    if (is < 0) is = strcmp(program_invocation_short_name, "java") == 0;
    return is;
}

static FILE *plain_open(const char *path) {
    static FILE *(*real)(const char *, const char *);
    if (!real) real = (FILE *(*)(const char *, const char *)) dlsym(RTLD_NEXT, "fopen64");
    return real(path, "r");
}

static void reload(void) {
    const char *path = getenv("FAULT_RULES");
    struct stat st;
    if (!path || stat(path, &st)) { rule_count = 0; loaded.tv_sec = 0; return; }
    if (st.st_mtim.tv_sec == loaded.tv_sec && st.st_mtim.tv_nsec == loaded.tv_nsec) return;
    loaded = st.st_mtim;
    rule_count = 0;
    FILE *f = plain_open(path);
    if (!f) return;
    char line[300];
    while (rule_count < MOST_RULES && fgets(line, sizeof line, f)) {
        struct rule *r = &rules[rule_count];
        memset(r, 0, sizeof *r);
        if (sscanf(line, "%15s %ld %ld %ld %199s", r->call, &r->skip, &r->count, &r->error, r->part) >= 4) rule_count++;
    }
    fclose(f);
}

/* Returns the errno that a call has to fail with, 0 for a short transfer, -1 for no fault; delays the call itself. */
static long fault(const char *call, const char *what) {
    if (!in_java()) return -1;
    long error = -1;
    pthread_mutex_lock(&lock);
    int saved = errno;
    reload();
    for (int i = 0; i < rule_count; i++) {
        struct rule *r = &rules[i];
        if (strcmp(r->call, call) || (r->part[0] && !(what && strstr(what, r->part)))) continue;
        long n = r->seen++;
        if (n >= r->skip && n < r->skip + r->count && error == -1) error = r->error;
    }
    errno = saved;
    pthread_mutex_unlock(&lock);
    if (error < -1) {
        struct timespec t = {-error / 1000, (-error % 1000) * 1000000L};
        nanosleep(&t, NULL);
        return -1;
    }
    return error;
}

#define FAIL(call, what) do { long e_ = fault(call, what); if (e_ > 0) { errno = (int) e_; return -1; } } while (0)

static const char *address(const struct sockaddr *a, char *to, size_t size) {
    if (a->sa_family == AF_INET) {
        const struct sockaddr_in *v4 = (const void *) a;
        char ip[32];
        inet_ntop(AF_INET, &v4->sin_addr, ip, sizeof ip);
        snprintf(to, size, "%s:%d", ip, ntohs(v4->sin_port));
    } else if (a->sa_family == AF_INET6) {
        const struct sockaddr_in6 *v6 = (const void *) a;
        char ip[64];
        inet_ntop(AF_INET6, &v6->sin6_addr, ip, sizeof ip);
        snprintf(to, size, "%s:%d", ip, ntohs(v6->sin6_port));
    } else {
        to[0] = 0;
    }
    return to;
}

static int is_socket(int fd) {
    struct stat st;
    return !fstat(fd, &st) && S_ISSOCK(st.st_mode);
}

/* Describes a descriptor: the peer address of a socket, or the path of a file. */
static const char *what(int fd, char *to, size_t size, int socket) {
    to[0] = 0;
    if (socket) {
        struct sockaddr_storage peer;
        socklen_t length = sizeof peer;
        if (!getpeername(fd, (struct sockaddr *) &peer, &length)) address((struct sockaddr *) &peer, to, size);
        return to;
    }
    char link[64];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t n = readlink(link, to, size - 1);
    to[n > 0 ? n : 0] = 0;
    return to;
}

static long transfer_fault(int fd, int writes) {
    if (!in_java() || fd <= 2) return -1;
    char text[300];
    int socket = is_socket(fd);
    what(fd, text, sizeof text, socket);
    return fault(socket ? (writes ? "sock_write" : "sock_read") : (writes ? "file_write" : "file_read"), text);
}

/* ---- sockets ---- */

int socket(int domain, int type, int protocol) { REAL(socket); FAIL("socket", ""); return real(domain, type, protocol); }
int accept(int fd, struct sockaddr *a, socklen_t *n) { REAL(accept); FAIL("accept", ""); return real(fd, a, n); }
int accept4(int fd, struct sockaddr *a, socklen_t *n, int f) { REAL(accept4); FAIL("accept", ""); return real(fd, a, n, f); }
int connect(int fd, const struct sockaddr *a, socklen_t n) {
    REAL(connect);
    char to[100];
    FAIL("connect", address(a, to, sizeof to));
    return real(fd, a, n);
}
int close(int fd) {
    REAL(close);
    int listens = 0;
    socklen_t length = sizeof listens;
    if (in_java() && !getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &length) && listens) fault("listener_close", "");
    return real(fd);
}
int epoll_wait(int fd, struct epoll_event *events, int most, int ms) {
    REAL(epoll_wait);
    FAIL("epoll_wait", "");
    return real(fd, events, most, ms);
}

/* ---- reads and writes ---- */

static size_t shorter(int fd, size_t n) { return is_socket(fd) ? 1 : n - 1; }

ssize_t write(int fd, const void *bytes, size_t n) {
    REAL(write);
    long e = transfer_fault(fd, 1);
    if (e > 0) { errno = (int) e; return -1; }
    return real(fd, bytes, e == 0 && n > 1 ? shorter(fd, n) : n);
}
ssize_t writev(int fd, const struct iovec *all, int n) {
    REAL(writev);
    long e = transfer_fault(fd, 1);
    if (e > 0) { errno = (int) e; return -1; }
    return real(fd, all, e == 0 ? 1 : n);
}
ssize_t read(int fd, void *bytes, size_t n) {
    REAL(read);
    long e = transfer_fault(fd, 0);
    if (e > 0) { errno = (int) e; return -1; }
    return real(fd, bytes, e == 0 && n > 1 ? shorter(fd, n) : n);
}

/* ---- files and folders ---- */

static int opened(const char *path, long *e) { *e = fault("open", path); return *e > 0; }
#define MODE(flags, mode) mode_t mode = 0; if ((flags) & (O_CREAT | O_TMPFILE)) { \
    va_list l; va_start(l, flags); mode = va_arg(l, mode_t); va_end(l); }
int open(const char *path, int flags, ...) {
    MODE(flags, mode) REAL(open); long e;
    if (opened(path, &e)) { errno = (int) e; return -1; }
    return real(path, flags, mode);
}
int open64(const char *path, int flags, ...) {
    MODE(flags, mode) REAL(open64); long e;
    if (opened(path, &e)) { errno = (int) e; return -1; }
    return real(path, flags, mode);
}
int rename(const char *from, const char *to) { REAL(rename); FAIL("rename", to); return real(from, to); }
int unlink(const char *path) { REAL(unlink); FAIL("unlink", path); return real(path); }
int mkdir(const char *path, mode_t mode) { REAL(mkdir); FAIL("mkdir", path); return real(path, mode); }
int ftruncate64(int fd, off64_t size) {
    REAL(ftruncate64);
    char text[300];
    FAIL("truncate", what(fd, text, sizeof text, 0));
    return real(fd, size);
}
static int directory_fault(const char *call, const char *path) {
    long e = fault(call, path);
    if (e > 0) errno = (int) e;
    return e > 0;
}
DIR *opendir(const char *path) { REAL(opendir); return directory_fault("opendir", path) ? NULL : real(path); }
struct dirent64 *readdir64(DIR *d) {
    REAL(readdir64);
    char text[300];
    return directory_fault("readdir", what(dirfd(d), text, sizeof text, 0)) ? NULL : real(d);
}

/* ---- the wall clock ---- */

static long step(void) {
    const char *path = getenv("WALL_STEP");
    FILE *f = path ? plain_open(path) : NULL;
    long s = 0;
    if (f) {
        if (fscanf(f, "%ld", &s) != 1) s = 0;
        fclose(f);
    }
    return s;
}
int clock_gettime(clockid_t c, struct timespec *t) {
    REAL(clock_gettime);
    int r = real(c, t);
    if (c == CLOCK_REALTIME) t->tv_sec += step();
    return r;
}
int gettimeofday(struct timeval *restrict t, void *restrict z) {
    REAL(gettimeofday);
    int r = real(t, z);
    t->tv_sec += step();
    return r;
}
time_t time(time_t *out) {
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    if (out) *out = t.tv_sec;
    return t.tv_sec;
}
