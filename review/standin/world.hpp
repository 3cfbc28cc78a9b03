// Stand-ins for the platform of a tallymux deployment, in one process on loopback addresses: the
// state service, the cloud, the workers, the users and their load balancer. The controllers are
// separate processes, started with the command of the deploy file. Nothing here uses code of the
// project.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <cmath>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// ---------------------------------------------------------------- values, CBOR and JSON
struct V {
  enum Kind { Nil, Bool, Int, Neg, Dbl, Str, Arr, Map } kind = Nil;
  bool b = false;
  uint64_t u = 0;
  double d = 0;
  std::string s;
  std::vector<V> a;
  std::vector<std::pair<std::string, V>> m;
  V() {}
  V(bool x) : kind(Bool), b(x) {}
  V(int x) : kind(Int), u((uint64_t)x) {}
  V(uint32_t x) : kind(Int), u(x) {}
  V(uint64_t x) : kind(Int), u(x) {}
  V(double x) : kind(Dbl), d(x) {}
  V(const char *x) : kind(Str), s(x) {}
  V(const std::string &x) : kind(Str), s(x) {}
  static V list() {
    V v;
    v.kind = Arr;
    return v;
  }
  static V map() {
    V v;
    v.kind = Map;
    return v;
  }
  V &set(const std::string &key, V value) {
    kind = Map;
    m.emplace_back(key, std::move(value));
    return *this;
  }
  V &add(V value) {
    kind = Arr;
    a.push_back(std::move(value));
    return *this;
  }
  const V *get(const std::string &key) const {
    for (auto &p : m)
      if (p.first == key) return p.second.kind == Nil ? nullptr : &p.second;
    return nullptr;
  }
  std::string text(const std::string &key) const {
    auto *v = get(key);
    return v && v->kind == Str ? v->s : "";
  }
  uint64_t num(const std::string &key, uint64_t otherwise = 0) const {
    auto *v = get(key);
    return !v ? otherwise : v->kind == Int ? v->u : v->kind == Dbl ? (uint64_t)v->d : otherwise;
  }
  double real(const std::string &key, double otherwise = 0) const {
    auto *v = get(key);
    return !v ? otherwise : v->kind == Int ? (double)v->u : v->kind == Dbl ? v->d : otherwise;
  }
  bool flag(const std::string &key) const {
    auto *v = get(key);
    return v && v->kind == Bool && v->b;
  }
};

inline void cbor_head(std::string &o, int major, uint64_t n) {
  auto put = [&](int bytes) {
    for (int i = bytes - 1; i >= 0; i--) o += (char)(n >> (8 * i));
  };
  if (n < 24)
    o += (char)(major << 5 | (int)n);
  else if (n < 256) {
    o += (char)(major << 5 | 24);
    put(1);
  } else if (n < 65536) {
    o += (char)(major << 5 | 25);
    put(2);
  } else if (n < (1ull << 32)) {
    o += (char)(major << 5 | 26);
    put(4);
  } else {
    o += (char)(major << 5 | 27);
    put(8);
  }
}
inline void cbor_write(std::string &o, const V &v) {
  switch (v.kind) {
    case V::Nil:
      o += (char)0xf6;
      break;
    case V::Bool:
      o += (char)(v.b ? 0xf5 : 0xf4);
      break;
    case V::Int:
      cbor_head(o, 0, v.u);
      break;
    case V::Neg:
      cbor_head(o, 1, v.u);
      break;
    case V::Dbl: {
      o += (char)0xfb;
      uint64_t n;
      memcpy(&n, &v.d, 8);
      for (int i = 7; i >= 0; i--) o += (char)(n >> (8 * i));
      break;
    }
    case V::Str:
      cbor_head(o, 3, v.s.size());
      o += v.s;
      break;
    case V::Arr:
      cbor_head(o, 4, v.a.size());
      for (auto &x : v.a) cbor_write(o, x);
      break;
    case V::Map:
      cbor_head(o, 5, v.m.size());
      for (auto &p : v.m) {
        cbor_head(o, 3, p.first.size());
        o += p.first;
        cbor_write(o, p.second);
      }
      break;
  }
}
inline std::string cbor(const V &v) {
  std::string o;
  cbor_write(o, v);
  return o;
}
struct CborReader {
  const uint8_t *p, *end;
  bool ok = true;
  uint64_t number(int info) {
    if (info < 24) return (uint64_t)info;
    int bytes = 1 << (info - 24);
    if (info > 27 || end - p < bytes) {
      ok = false;
      return 0;
    }
    uint64_t n = 0;
    while (bytes--) n = n << 8 | *p++;
    return n;
  }
  V read(int depth = 0) {
    if (p >= end || depth > 32) {
      ok = false;
      return V();
    }
    int major = *p >> 5, info = *p & 31;
    p++;
    if (major == 7) {
      if (info == 20 || info == 21) return V(info == 21);
      if (info == 22 || info == 23) return V();
      uint64_t n = number(info);
      if (info == 27) {
        double d;
        memcpy(&d, &n, 8);
        return V(d);
      }
      if (info == 26) {
        float f;
        uint32_t w = (uint32_t)n;
        memcpy(&f, &w, 4);
        return V((double)f);
      }
      if (info == 25) {
        int e = (int)(n >> 10) & 31;
        double f = (double)(n & 1023);
        double x = e == 0 ? std::ldexp(f, -24) : std::ldexp(f + 1024, e - 25);
        return V(n & 0x8000 ? -x : x);
      }
      ok = false;
      return V();
    }
    uint64_t n = number(info);
    if (!ok) return V();
    if (major == 0) return V(n);
    if (major == 1) {
      V v;
      v.kind = V::Neg;
      v.u = n;
      return v;
    }
    if (major == 3) {
      if ((uint64_t)(end - p) < n) {
        ok = false;
        return V();
      }
      V v(std::string((const char *)p, n));
      p += n;
      return v;
    }
    if (major == 4) {
      V v = V::list();
      for (uint64_t i = 0; i < n && ok; i++) v.a.push_back(read(depth + 1));
      return v;
    }
    if (major == 5) {
      V v = V::map();
      for (uint64_t i = 0; i < n && ok; i++) {
        V k = read(depth + 1);
        V x = read(depth + 1);
        v.m.emplace_back(k.s, std::move(x));
      }
      return v;
    }
    ok = false;
    return V();
  }
};
inline V cbor_parse(const std::string &bytes, bool *ok = nullptr) {
  CborReader r{(const uint8_t *)bytes.data(), (const uint8_t *)bytes.data() + bytes.size()};
  V v = r.read();
  if (ok) *ok = r.ok;
  return r.ok ? v : V();
}
inline void json_write(std::string &o, const V &v) {
  char t[40];
  auto text = [&](const std::string &s) {
    o += '"';
    for (unsigned char c : s) {
      if (c == '"' || c == '\\') {
        o += '\\';
        o += (char)c;
      } else if (c < 32) {
        snprintf(t, sizeof t, "\\u%04x", c);
        o += t;
      } else
        o += (char)c;
    }
    o += '"';
  };
  switch (v.kind) {
    case V::Nil:
      o += "null";
      break;
    case V::Bool:
      o += v.b ? "true" : "false";
      break;
    case V::Int:
      snprintf(t, sizeof t, "%llu", (unsigned long long)v.u);
      o += t;
      break;
    case V::Neg:
      snprintf(t, sizeof t, "-%llu", (unsigned long long)v.u + 1);
      o += t;
      break;
    case V::Dbl:
      snprintf(t, sizeof t, v.d == std::floor(v.d) && std::fabs(v.d) < 1e15 ? "%.1f" : "%.10g",
               v.d);
      o += t;
      break;
    case V::Str:
      text(v.s);
      break;
    case V::Arr:
      o += '[';
      for (size_t i = 0; i < v.a.size(); i++) {
        if (i) o += ',';
        json_write(o, v.a[i]);
      }
      o += ']';
      break;
    case V::Map:
      o += '{';
      for (size_t i = 0; i < v.m.size(); i++) {
        if (i) o += ',';
        text(v.m[i].first);
        o += ':';
        json_write(o, v.m[i].second);
      }
      o += '}';
      break;
  }
}
inline std::string json(const V &v) {
  std::string o;
  json_write(o, v);
  return o;
}

// ---------------------------------------------------------------- clock, record, event loop
inline double clock_now() {
  timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + 1e-9 * (double)t.tv_nsec;
}
inline double t0 = clock_now();
inline double now() { return clock_now() - t0; }
inline FILE *record_file = nullptr;
inline void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
inline void record(const char *format, ...) {
  va_list l;
  va_start(l, format);
  if (record_file) {
    fprintf(record_file, "%8.3f ", now());
    vfprintf(record_file, format, l);
    fputc('\n', record_file);
    fflush(record_file);
  }
  va_end(l);
}
inline std::mt19937 rng(1);
inline double uniform() { return std::uniform_real_distribution<double>(0, 1)(rng); }

struct Timer {
  double at;
  std::function<void()> run;
};
inline std::multimap<double, std::function<void()>> timers;
inline void after(double s, std::function<void()> f) { timers.emplace(now() + s, std::move(f)); }

struct Socket {
  int fd = -1;
  bool want_write = false;
  bool dead = false;
  std::function<void()> on_read, on_write;
  ~Socket() {
    if (fd >= 0) close(fd);
  }
};
inline std::vector<std::shared_ptr<Socket>> sockets;
inline std::shared_ptr<Socket> add_socket(int fd) {
  auto s = std::make_shared<Socket>();
  s->fd = fd;
  fcntl(fd, F_SETFL, O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
  sockets.push_back(s);
  return s;
}
inline void loop_once(double max_wait) {
  double t = now();
  while (!timers.empty() && timers.begin()->first <= t) {
    auto f = std::move(timers.begin()->second);
    timers.erase(timers.begin());
    f();
  }
  if (!timers.empty()) max_wait = std::max(0.0, std::min(max_wait, timers.begin()->first - now()));
  std::vector<pollfd> fds;
  std::vector<std::shared_ptr<Socket>> alive;
  for (auto &s : sockets) {
    if (!s->dead) {
      alive.push_back(s);
      continue;
    }
    close(s->fd);
    s->fd = -1;
    s->on_read = s->on_write = nullptr;
  }
  sockets = alive;
  for (auto &s : alive) fds.push_back({s->fd, (short)(POLLIN | (s->want_write ? POLLOUT : 0)), 0});
  poll(fds.data(), fds.size(), (int)std::ceil(max_wait * 1000));
  for (size_t i = 0; i < fds.size(); i++) {
    auto s = alive[i];
    if (s->dead) continue;
    if (fds[i].revents & (POLLOUT | POLLERR) && s->want_write && s->on_write) s->on_write();
    if (!s->dead && fds[i].revents & (POLLIN | POLLHUP | POLLERR) && s->on_read) s->on_read();
  }
}
inline bool stop_requested = false;
inline void run_until(double t, const std::function<bool()> &done = nullptr) {
  while (now() < t && !stop_requested && !(done && done()))
    loop_once(std::min(0.05, std::max(0.0, t - now())));
}

// ---------------------------------------------------------------- HTTP
struct Message {
  std::string first;
  std::map<std::string, std::string> headers;
  std::string body;
};
// Takes one complete message from the buffer. Returns false if it is not complete yet.
inline bool take_message(std::string &in, Message &m) {
  size_t e = in.find("\r\n\r\n");
  if (e == std::string::npos) return false;
  m = Message();
  size_t at = in.find("\r\n");
  m.first = in.substr(0, at);
  while (at < e) {
    size_t next = in.find("\r\n", at + 2);
    std::string line = in.substr(at + 2, next - at - 2);
    size_t c = line.find(':');
    if (c != std::string::npos) {
      std::string k = line.substr(0, c), v = line.substr(c + 1);
      for (auto &x : k) x = (char)tolower(x);
      while (!v.empty() && v[0] == ' ') v.erase(0, 1);
      m.headers[k] = v;
    }
    at = next;
  }
  size_t n = m.headers.count("content-length")
                 ? strtoull(m.headers["content-length"].c_str(), nullptr, 10)
                 : 0;
  if (in.size() < e + 4 + n) return false;
  m.body = in.substr(e + 4, n);
  in.erase(0, e + 4 + n);
  return true;
}
struct Connection {
  std::shared_ptr<Socket> sock;
  std::string in, out;
  bool close_after = false;
  void flush() {
    while (!out.empty()) {
      ssize_t n = send(sock->fd, out.data(), out.size(), MSG_NOSIGNAL);
      if (n < 0) {
        if (errno == EAGAIN) {
          sock->want_write = true;
          return;
        }
        sock->dead = true;
        return;
      }
      out.erase(0, (size_t)n);
    }
    sock->want_write = false;
    if (close_after) sock->dead = true;
  }
};
struct Request {
  std::string method, path;
  std::map<std::string, std::string> query;
  std::string bytes;
  V body;
  bool body_ok = true;
  std::shared_ptr<Connection> conn;
  void reply(int status, const V &v = V(), int retry_after = 0) const {
    if (conn->sock->dead || conn->sock->fd < 0) return;
    std::string body_out = v.kind == V::Nil ? "" : cbor(v);
    char head[200];
    snprintf(head, sizeof head,
             "HTTP/1.1 %d x\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n", status,
             body_out.size());
    conn->out += head;
    if (retry_after) {
      snprintf(head, sizeof head, "Retry-After: %d\r\n", retry_after);
      conn->out += head;
    }
    conn->out += "\r\n" + body_out;
    conn->flush();
  }
};
using Handler = std::function<void(Request &)>;
struct Server {
  std::shared_ptr<Socket> sock;
  int port = 0;
  Handler handler;
  bool silent = false;  // accepts nothing and answers nothing
  std::vector<std::weak_ptr<Connection>> connections;
  std::vector<Request> held;
  void replay() {
    std::vector<Request> late;
    late.swap(held);
    for (auto &r : late) handler(r);
  }
  void close_all() {
    for (auto &w : connections)
      if (auto c = w.lock()) c->sock->dead = true;
    connections.clear();
    sock->dead = true;
  }
};
inline int loopback_socket(int *port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
  // free ports below the usual range of outgoing connections, so that none of them takes a port
  // between this choice and the start of a controller
  static uint32_t next = (uint32_t)(getpid() * 7919 + (int)(clock_now() * 1e6));
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int i = 0; i < 5000; i++) {
    next = next * 1664525u + 1013904223u;
    *port = 12000 + (int)((next >> 8) % 18000);
    a.sin_port = htons((uint16_t)*port);
    if (bind(fd, (sockaddr *)&a, sizeof a)) continue;
    // set after the binding: another stand-in cannot take the port, a controller can
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    return fd;
  }
  perror("bind");
  exit(2);
}
inline std::shared_ptr<Server> serve(Handler h) {
  auto server = std::make_shared<Server>();
  int fd = loopback_socket(&server->port);
  if (listen(fd, 512)) {
    perror("listen");
    exit(2);
  }
  server->handler = std::move(h);
  server->sock = add_socket(fd);
  Server *sv = server.get();
  server->sock->on_read = [sv] {
    int c = accept(sv->sock->fd, nullptr, nullptr);
    if (c < 0) return;
    int one = 1;
    setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    auto conn = std::make_shared<Connection>();
    conn->sock = add_socket(c);
    sv->connections.push_back(conn);
    conn->sock->on_write = [conn] { conn->flush(); };
    conn->sock->on_read = [conn, sv] {
      char buf[65536];
      ssize_t n = recv(conn->sock->fd, buf, sizeof buf, 0);
      if (n < 0 && errno == EAGAIN) return;
      if (n <= 0) {
        conn->sock->dead = true;
        return;
      }
      conn->in.append(buf, (size_t)n);
      Message m;
      while (!sv->silent && take_message(conn->in, m)) {
        Request r;
        r.conn = conn;
        size_t a = m.first.find(' '), b = m.first.rfind(' ');
        r.method = m.first.substr(0, a);
        std::string target = m.first.substr(a + 1, b - a - 1);
        size_t q = target.find('?');
        r.path = target.substr(0, q);
        while (q != std::string::npos) {
          size_t e = target.find('&', q + 1);
          std::string pair = target.substr(q + 1, e == std::string::npos ? e : e - q - 1);
          size_t eq = pair.find('=');
          if (eq != std::string::npos) r.query[pair.substr(0, eq)] = pair.substr(eq + 1);
          q = e;
        }
        if (!m.body.empty()) r.body = cbor_parse(m.body, &r.body_ok);
        r.bytes = m.body;
        sv->handler(r);
      }
    };
  };
  return server;
}
// One request on a connection of its own. The callback gets the status; 0: no response, -1: not
// connected.
using Callback = std::function<void(int, const V &, int retry_after)>;
inline void call(int port, const char *method, const std::string &path, const V &body,
                 double timeout, Callback cb) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  auto conn = std::make_shared<Connection>();
  conn->sock = add_socket(fd);
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons((uint16_t)port);
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto done = std::make_shared<bool>(false);
  auto connected = std::make_shared<bool>(false);
  auto finish = [conn, done, cb](int status, const V &v, int retry) {
    if (*done) return;
    *done = true;
    conn->sock->dead = true;
    if (cb) cb(status, v, retry);
  };
  if (connect(fd, (sockaddr *)&a, sizeof a) && errno != EINPROGRESS) {
    after(0, [finish] { finish(-1, V(), 0); });
    return;
  }
  std::string b = body.kind == V::Nil ? "" : cbor(body);
  char head[400];
  snprintf(head, sizeof head,
           "%s %s HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Type: "
           "application/cbor\r\nContent-Length: %zu\r\n\r\n",
           method, path.c_str(), b.size());
  conn->out = head + b;
  conn->sock->want_write = true;
  conn->sock->on_write = [conn, connected, finish] {
    if (!*connected) {
      int e = 0;
      socklen_t n = sizeof e;
      getsockopt(conn->sock->fd, SOL_SOCKET, SO_ERROR, &e, &n);
      if (e) {
        finish(-1, V(), 0);
        return;
      }
      *connected = true;
    }
    conn->flush();
    if (conn->sock->dead) finish(0, V(), 0);
  };
  conn->sock->on_read = [conn, connected, finish] {
    char buf[65536];
    ssize_t n = recv(conn->sock->fd, buf, sizeof buf, 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n > 0) conn->in.append(buf, (size_t)n);
    Message m;
    if (take_message(conn->in, m)) {
      int status = atoi(m.first.c_str() + 9),
          retry = m.headers.count("retry-after") ? atoi(m.headers["retry-after"].c_str()) : 0;
      finish(status, m.body.empty() ? V() : cbor_parse(m.body), retry);
    } else if (n <= 0)
      finish(*connected ? 0 : -1, V(), 0);
  };
  after(timeout, [finish] { finish(0, V(), 0); });
}

// ---------------------------------------------------------------- the deployment
struct Type {
  std::string name;
  double cpus, mem;
  double price, spot;
  double boot;
  double fetch = 0.5;
};
struct Team {
  std::string name;
  double cpus, cpus_max;
};
struct Aim {
  std::string kind, cls;
  double within, share;
};
struct Site {
  int nodes = 3;
  std::vector<std::string> zones, node_zone;
  std::vector<Team> teams;
  std::vector<Aim> aims;
  std::vector<Type> types;
  double report_s, lease_s, cancel_s, rps, write_rps, value_kb;
  int txn_ops;
  double cloud_rps, list_lag_s, core_share, ram_mb;
  int sockets_max;
  double back_s;
};
inline Site canelones() {  // the brief of Canelones
  Site s;
  s.zones = {"sala-norte", "sala-rio"};
  s.node_zone = {"sala-norte", "sala-rio", "sala-norte"};
  s.teams = {{"balanza", 168, 552}, {"riego", 112, 368}, {"sistemas", 144, 456}};
  s.aims = {{"wait", "pesaje-vivo", 2, 0.9},
            {"deadline", "tarja-diaria", 0, 0.9},
            {"finished", "riego-cuenta", 150, 0.96},
            {"guarantee", "", 5, 0.96}};
  s.types = {{"chico", 4, 16, 0.21, 0.08, 40, 0.3},
             {"mediano", 16, 64, 0.82, 0.33, 15, 0.5},
             {"galpon", 64, 512, 3.67, 1.29, 25, 1.0}};
  s.report_s = 3;
  s.lease_s = 42;
  s.cancel_s = 62;
  s.rps = 200;
  s.write_rps = 40;
  s.value_kb = 16;
  s.txn_ops = 32;
  s.cloud_rps = 10;
  s.list_lag_s = 8;
  s.core_share = 0.32;
  s.ram_mb = 264;
  s.sockets_max = 5000;
  s.back_s = 5;
  return s;
}
inline Site regina() {  // the brief of Regina
  Site s;
  s.zones = {"regina-dc"};
  s.node_zone = {"regina-dc", "regina-dc", "regina-dc"};
  s.teams = {{"floor-ops", 0, 0}, {"script-desk", 0, 0}};
  s.aims = {{"wait", "script-live", 1, 0.94},
            {"finished", "offer-refresh", 180, 0.78},
            {"finished", "offer-refresh", 300, 0.97}};
  s.types = {{"quarter", 16, 128, 1.24, 0.54, 35, 1.0}, {"section", 64, 256, 4.03, 1.76, 35, 1.0}};
  s.report_s = 3;
  s.lease_s = 22;
  s.cancel_s = 47;
  s.rps = 250;
  s.write_rps = 25;
  s.value_kb = 4;
  s.txn_ops = 12;
  s.cloud_rps = 8;
  s.list_lag_s = 8;
  s.core_share = 0.32;
  s.ram_mb = 136;
  s.sockets_max = 2500;
  s.back_s = 6;
  return s;
}

// ---------------------------------------------------------------- state service
struct Bucket {
  double rate = 0, tokens = 0, at = 0;
  void init(double r) {
    rate = tokens = r;
    at = now();
  }
  bool take(double n) {
    double t = now();
    tokens = std::min(rate, tokens + (t - at) * rate);
    at = t;
    if (tokens < n) return false;
    tokens -= n;
    return true;
  }
};
struct Store {
  struct Entry {
    V data;
    uint64_t stamp = 0, permit = 0;
  };
  struct Change {
    uint64_t ledger;
    std::string path;
    bool drop;
    V data;
  };
  struct Hold {
    double ttl, ends;
  };
  struct Watch {
    std::string prefix;
    uint64_t from;
    double ends;
    Request request;
  };
  std::map<std::string, Entry> data;
  std::deque<Change> changes;
  uint64_t ledger = 1, next_hold = 1, oldest = 0;
  std::map<uint64_t, Hold> holds;
  std::vector<Watch> watches;
  Bucket requests, writes;
  double value_bytes = 0;
  int txn_ops = 0;
  bool outage = false;
  std::set<int> refused;  // controllers that get 503
  unsigned n_requests = 0, n_commits = 0, n_refused = 0;
  void start(const Site &s) {
    requests.init(s.rps);
    writes.init(s.write_rps);
    value_bytes = s.value_kb * 1024;
    txn_ops = s.txn_ops;
    tick();
  }
  void tick() {
    double t = now();
    if (outage) {
      for (auto &h : holds) h.second.ends = t + h.second.ttl;
    }
    for (auto it = holds.begin(); it != holds.end();) {
      if (it->second.ends + 0.05 < t) {
        uint64_t id = it->first;
        it = holds.erase(it);
        expire(id);
      } else
        ++it;
    }
    flush();
    after(0.02, [this] { tick(); });
  }
  void expire(uint64_t id) {
    std::vector<std::string> gone;
    for (auto &e : data)
      if (e.second.permit == id) gone.push_back(e.first);
    if (gone.empty()) return;
    ledger++;
    for (auto &k : gone) {
      data.erase(k);
      log_change({ledger, k, true, V()});
    }
  }
  void log_change(Change c) {
    changes.push_back(std::move(c));
    while (changes.size() > 10000) {
      oldest = changes.front().ledger;
      changes.pop_front();
    }
  }
  void flush() {
    double t = now();
    if (outage) return;
    for (size_t i = 0; i < watches.size();) {
      Watch &w = watches[i];
      V events = V::list();
      if (w.from < oldest) {
        w.request.reply(410);
        watches.erase(watches.begin() + (long)i);
        continue;
      }
      for (auto it = changes.rbegin(); it != changes.rend() && it->ledger > w.from; ++it) {
      }
      size_t first = changes.size();
      while (first > 0 && changes[first - 1].ledger > w.from) first--;
      for (size_t k = first; k < changes.size(); k++) {
        const Change &c = changes[k];
        if (c.path.compare(0, w.prefix.size(), w.prefix)) continue;
        V e = V::map();
        if (c.drop)
          e.set("drop", c.path);
        else
          e.set("write", c.path).set("data", c.data);
        e.set("stamp", c.ledger);
        events.add(e);
      }
      if (events.a.empty() && t < w.ends) {
        i++;
        continue;
      }
      w.request.reply(200, V::map().set("ledger", ledger).set("events", events));
      watches.erase(watches.begin() + (long)i);
    }
  }
  void handle(int node, Request &r) {
    n_requests++;
    if (outage || refused.count(node)) {
      r.reply(503);
      return;
    }
    if (!requests.take(1)) {
      n_refused++;
      r.reply(429);
      return;
    }
    if (r.method == "GET" && r.path == "/kv") {
      std::string prefix = r.query["prefix"], from = r.query["from"];
      size_t page = r.query.count("page") ? (size_t)atoi(r.query["page"].c_str()) : 1000, bytes = 0;
      V entries = V::list();
      bool more = false;
      for (auto it = from.empty() ? data.lower_bound(prefix)
                                  : data.upper_bound(std::max(from, prefix));
           it != data.end() && !it->first.compare(0, prefix.size(), prefix); ++it) {
        V e = V::map()
                  .set("path", it->first)
                  .set("data", it->second.data)
                  .set("stamp", it->second.stamp);
        bytes += json(e).size() + 1;
        if (entries.a.size() >= std::min<size_t>(page, 1000) || bytes > 500 * 1024) {
          more = true;
          break;
        }
        entries.add(e);
      }
      r.reply(200, V::map().set("entries", entries).set("has_next", more).set("ledger", ledger));
    } else if (r.method == "GET" && !r.path.compare(0, 4, "/kv/")) {
      auto it = data.find(r.path.substr(4));
      if (it == data.end())
        r.reply(404, V::map().set("ledger", ledger));
      else
        r.reply(200, V::map()
                         .set("path", it->first)
                         .set("data", it->second.data)
                         .set("stamp", it->second.stamp));
    } else if (r.path == "/commit")
      commit(r);
    else if (r.path == "/holds") {
      uint64_t id = next_hold++;
      double ttl = r.body.real("ttl_ms") / 1000;
      holds[id] = {ttl, now() + ttl};
      r.reply(200, V::map().set("permit", id));
    } else if (!r.path.compare(0, 7, "/holds/")) {
      uint64_t id = strtoull(r.path.c_str() + 7, nullptr, 10);
      auto it = holds.find(id);
      if (it == holds.end()) {
        r.reply(404);
        return;
      }
      if (r.method == "DELETE") {
        holds.erase(it);
        expire(id);
      } else
        it->second.ends = now() + it->second.ttl;
      r.reply(200, V::map());
    } else if (r.path == "/follow") {
      double wait = r.query.count("wait_ms") ? atof(r.query["wait_ms"].c_str()) / 1000 : 0;
      watches.push_back(
          {r.query["prefix"], strtoull(r.query["from"].c_str(), nullptr, 10), now() + wait, r});
      flush();
    } else
      r.reply(400);
  }
  void commit(Request &r) {
    const V *conditions = r.body.get("if"), *then = r.body.get("then");
    size_t n = then ? then->a.size() : 0;
    if (!r.body_ok || n > (size_t)txn_ops ||
        (conditions && conditions->a.size() > 4 * (size_t)txn_ops) || json(r.body).size() > 65536) {
      record("store 400 malformed");
      r.reply(400, V::map().set("error", "malformed"));
      return;
    }
    if (n && !writes.take((double)n)) {
      n_refused++;
      r.reply(429);
      return;
    }
    for (size_t i = 0; i < n; i++) {
      const V &o = then->a[i];
      uint64_t permit = o.num("permit");
      if (permit && !holds.count(permit)) {
        r.reply(400, V::map().set("error", "no such lease"));
        return;
      }
      if (o.get("data") && (double)json(*o.get("data")).size() > value_bytes) {
        record("store 400 value too large");
        r.reply(400, V::map().set("error", "value too large"));
        return;
      }
    }
    V failed = V::list();
    if (conditions)
      for (auto &c : conditions->a) {
        auto it = data.find(c.text("path"));
        if ((it == data.end() ? 0 : it->second.stamp) != c.num("stamp")) failed.add(c.text("path"));
      }
    if (!failed.a.empty()) {
      r.reply(409, V::map().set("failed", failed).set("ledger", ledger));
      return;
    }
    n_commits++;
    if (n) ledger++;
    for (size_t i = 0; i < n; i++) {
      const V &o = then->a[i];
      std::string key = o.text("write");
      if (!key.empty()) {
        const V *d = o.get("data");
        data[key] = {d ? *d : V(), ledger, o.num("permit")};
        log_change({ledger, key, false, d ? *d : V()});
      } else if (data.erase(o.text("drop")))
        log_change({ledger, o.text("drop"), true, V()});
    }
    r.reply(200, V::map().set("ledger", ledger));
    flush();
  }
};

// ---------------------------------------------------------------- jobs, workers, cloud, users
struct Job {
  std::string id, crew, team, sort = "batch", rank = "normal", kit = "img", zone;
  uint64_t tasks = 1;
  double cpus = 1, mem = 1, image_gb = 0.5, run_s = 10, reckon = 10, tally = 0, stow = 0;
  std::vector<std::string> types;
  bool same = false, spread = false, spot = false;
  bool mistake = false;  // submitted with a mistake: its tasks fail on every machine
  // what its user saw
  bool submitted = false, accepted = false, done = false, withdrawn = false, withdraw_asked = false;
  double submitted_at = 0, accepted_at = -1, done_at = -1, withdrawn_at = -1, last_answer_at = -1;
  std::string last_standing;
  unsigned polls = 0, poll_failures = 0, answers_404 = 0;
  V encode() const {
    V v = V::map();
    v.set("id", id)
        .set("crew", crew)
        .set("outfit", team)
        .set("sort", sort)
        .set("rank", rank)
        .set("loads", tasks);
    v.set("cpus", cpus)
        .set("gpus", 0.0)
        .set("mem_gb", mem)
        .set("kit", kit)
        .set("image_gb", image_gb);
    V b;
    if (!types.empty()) {
      b = V::list();
      for (auto &t : types) b.add(t);
    }
    v.set("builds", b)
        .set("yard", zone.empty() ? V() : V(zone))
        .set("same_place", same)
        .set("spread", spread)
        .set("loaner", spot);
    v.set("reckon_s", reckon).set("tally_s", tally).set("stow_s", stow).set("due_s", V());
    return v;
  }
};
struct World;
struct Load {
  std::string load, job;
  uint64_t index, attempt;
  std::string standing, cause;
  bool saved = false;
  double until = 1e18;
};
struct Worker {
  World *w;
  std::string id, type, zone;
  bool spot = false;
  double cpus, mem, fetch;
  std::shared_ptr<Server> server;
  uint64_t shift = 1, tick = 0, baton = 0, reported_baton = 0;
  std::vector<Load> loads;
  double recall = -1;
  std::set<std::string> images;
  int node = 0;
  bool busy = false, changed = false, dead = false, hung = false;
  double last_sent = -10, next_at = 0, answered_sent = 0;
  size_t largest_report = 0;
  int last_status = 200;
  std::vector<std::pair<double, std::string>>
      received;  // bodies of the direct commands, as they came
  V report() {
    tick++;
    V v = V::map();
    v.set("rig", id)
        .set("addr", "127.0.0.1:" + std::to_string(server->port))
        .set("build", type)
        .set("yard", zone)
        .set("loaner", spot);
    v.set("shift", shift)
        .set("tick", tick)
        .set("baton", baton)
        .set("recall_s", recall >= 0 ? V(recall) : V());
    V l = V::list();
    for (auto &x : loads) {
      V e = V::map().set("load", x.load).set("try", x.attempt).set("standing", x.standing);
      if (x.standing == "ended") {
        e.set("cause", x.cause);
        if (x.saved) e.set("saved", true);
      }
      l.add(e);
    }
    v.set("loads", l);
    return v;
  }
  void execute(const V *orders);
  void step();
  void send_report();
  void kill_all(const char *why);
};
struct Controller {
  pid_t pid = 0;
  int port = 0, peer_port = 0;
  std::string settings, log;
  double start_at = -1;
  unsigned starts = 0;
  bool healthy = false;
  int good = 0, bad = 0;
  double unhealthy_since = -100;
  double peak_mb = 0;
  unsigned memory_kills = 0, self_ends = 0;
  std::shared_ptr<Server> store;
};
struct Machine {
  std::string id, type, zone;
  bool spot;
  double rented_at;
  std::vector<std::pair<double, std::string>> states;
  double gone_at = 1e18;
  std::shared_ptr<Worker> worker;
};

struct World {
  Site site;
  Store store;
  std::vector<Controller> nodes;
  std::vector<std::string> command;
  std::string folder;
  std::map<std::string, Machine> machines;
  std::map<std::string, V> hires;
  std::map<std::string, Job> jobs;
  std::shared_ptr<Server> cloud;
  Bucket cloud_requests;
  uint64_t next_machine = 1;
  double run_scale = 1;
  bool memory_enforced = false;
  std::set<std::string> no_capacity;  // type names that the cloud has none of
  unsigned starts = 0, rentals = 0;
  std::vector<std::string> violations;
  std::map<std::string, std::set<std::string>>
      on;  // load -> machines that it is on (has its image, not ended)

  const Type &type(const std::string &n) const {
    for (auto &t : site.types)
      if (t.name == n) return t;
    abort();
  }

  void violation(const std::string &text) {
    violations.push_back(text);
    record("BROKEN %s", text.c_str());
  }
  void begins(const Worker &k, const Load &l) {
    starts++;
    record("run %s try %llu begins on %s", l.load.c_str(), (unsigned long long)l.attempt,
           k.id.c_str());
    auto &s = on[l.load];
    for (auto &m : s)
      if (m != k.id) violation("ran_twice: " + l.load + " begins on " + k.id + " while on " + m);
    s.insert(k.id);
  }
  void ends(const Worker &k, const Load &l, const char *why) {
    record("run %s try %llu ends on %s: %s", l.load.c_str(), (unsigned long long)l.attempt,
           k.id.c_str(), why);
    on[l.load].erase(k.id);
  }

  // ---- cloud
  std::string add_machine(const std::string &t, const std::string &zone, bool spot, double boot) {
    char id[16];
    snprintf(id, sizeof id, "n-%06llu", (unsigned long long)next_machine++);
    Machine m{id, t, zone, spot, now(), {}, 1e18, nullptr};
    m.states.push_back({now(), "booting"});
    machines[id] = m;
    std::string name = id;
    if (boot <= 0)
      up(name);
    else
      after(boot, [this, name] { up(name); });
    return name;
  }
  void up(const std::string &id) {
    Machine &m = machines[id];
    if (m.gone_at < 1e17) return;
    m.states.push_back({now(), "running"});
    auto k = std::make_shared<Worker>();
    k->w = this;
    k->id = id;
    k->type = m.type;
    k->zone = m.zone;
    k->spot = m.spot;
    const Type &t = type(m.type);
    k->cpus = t.cpus;
    k->mem = t.mem;
    k->fetch = t.fetch;
    k->answered_sent = now();
    k->next_at = now() + uniform() * 0.5;
    k->node = (int)(uniform() * (double)nodes.size());
    std::weak_ptr<Worker> weak = k;
    k->server = serve([this, weak](Request &r) {
      auto x = weak.lock();
      if (!x || x->dead) return;
      if (x->hung) {
        x->server->held.push_back(r);
        return;
      }  // waits in the machine until it resumes
      if (r.path == "/show") {
        r.reply(200, x->report());
        return;
      }
      const V *b = r.body.get("baton"), *s = r.body.get("shift");
      if (r.path != "/commands" || !b || !s) {
        r.reply(400);
        return;
      }
      x->received.push_back({now(), r.bytes});
      if (b->u < x->baton || s->u != x->shift) {
        r.reply(409, x->report());
        return;
      }
      if (b->u > x->baton) {
        x->baton = b->u;
        x->changed = true;
      }
      x->execute(r.body.get("orders"));
      r.reply(200, x->report());
    });
    m.worker = k;
    record("machine %s (%s, %s%s) is up", id.c_str(), m.type.c_str(), m.zone.c_str(),
           m.spot ? ", spot" : "");
  }
  void power_off(const std::string &id, bool taken,
                 double listed_for) {  // a machine stops with all that is on it
    Machine &m = machines[id];
    if (m.worker) {
      m.worker->kill_all("machine gone");
      m.worker->dead = true;
      m.worker->server->silent = true;
    }
    if (taken)
      m.gone_at = now();
    else
      after(listed_for, [this, id] {
        if (machines[id].gone_at > 1e17) machines[id].states.push_back({now(), "failed"});
      });
  }
  void handle_cloud(Request &r) {
    if (!cloud_requests.take(1)) {
      r.reply(429);
      return;
    }
    if (r.path == "/catalog") {
      V list = V::list();
      for (auto &t : site.types) {
        V z = V::list();
        for (auto &x : site.zones) z.add(x);
        list.add(V::map()
                     .set("label", t.name)
                     .set("cpus", t.cpus)
                     .set("gpus", 0.0)
                     .set("mem_gb", t.mem)
                     .set("cache_gb", 60.0)
                     .set("fetch_gb_per_s", t.fetch)
                     .set("hourly", t.price)
                     .set("market_price", t.spot)
                     .set("boot_s", t.boot)
                     .set("yards", z));
      }
      r.reply(200, V::map().set("builds", list));
    } else if (r.path == "/machines" && r.method == "POST") {
      std::string hire = r.body.text("hire"), t = r.body.text("build"), z = r.body.text("yard");
      if (hires.count(hire)) {
        r.reply(200, hires[hire]);
        return;
      }
      if (no_capacity.count(t)) {
        record("cloud: rental of %llu %s refused: no capacity",
               (unsigned long long)r.body.num("count"), t.c_str());
        r.reply(503, V::map().set("error", "no capacity"));
        return;
      }
      V list = V::list();
      for (uint64_t i = 0; i < std::min<uint64_t>(r.body.num("count"), 50); i++)
        list.add(add_machine(t, z, r.body.flag("loaner"), type(t).boot * (0.8 + 0.4 * uniform())));
      rentals++;
      record("cloud: rental %s: %zu of %s in %s%s", hire.c_str(), list.a.size(), t.c_str(),
             z.c_str(), r.body.flag("loaner") ? ", spot" : "");
      V answer = V::map().set("rigs", list);
      hires[hire] = answer;
      r.reply(200, answer);
    } else if (r.path == "/machines/delete") {
      const V *list = r.body.get("rigs");
      if (list)
        for (auto &x : list->a) {
          auto it = machines.find(x.s);
          if (it == machines.end() || it->second.gone_at < 1e17) continue;
          record("cloud: deletion of %s (%s)", x.s.c_str(), it->second.type.c_str());
          it->second.gone_at = now();
          if (auto &k = it->second.worker) {
            if (!k->dead) {
              k->kill_all("machine deleted");
              k->dead = true;
            }
            k->server->close_all();
          }
        }
      r.reply(200, V::map());
    } else if (r.path == "/machines") {
      double at = now() - site.list_lag_s;
      std::string from = r.query["from"];
      size_t page = r.query.count("page") ? (size_t)atoi(r.query["page"].c_str()) : 500;
      V list = V::list();
      bool more = false;
      for (auto &p : machines) {
        const Machine &m = p.second;
        if (p.first <= from || m.rented_at > at || m.gone_at <= at) continue;
        if (list.a.size() >= page) {
          more = true;
          break;
        }
        std::string state = "booting";
        for (auto &s : m.states)
          if (s.first <= at) state = s.second;
        list.add(V::map()
                     .set("id", p.first)
                     .set("addr", m.worker ? "127.0.0.1:" + std::to_string(m.worker->server->port)
                                           : "127.0.0.1:1")
                     .set("build", m.type)
                     .set("yard", m.zone)
                     .set("loaner", m.spot)
                     .set("standing", state)
                     .set("held_s", at - m.rented_at));
      }
      r.reply(200, V::map().set("rigs", list).set("has_next", more));
    } else
      r.reply(400);
  }

  // ---- controllers
  void open(const Site &s, const std::string &dir, const std::vector<std::string> &run) {
    site = s;
    folder = dir;
    command = run;
    nodes.resize((size_t)s.nodes);
    store.start(s);
    cloud_requests.init(s.cloud_rps * 2);
    cloud_requests.rate = s.cloud_rps * 2;
    cloud = serve([this](Request &r) { handle_cloud(r); });
    for (int i = 0; i < s.nodes; i++) {
      loopback_socket(&nodes[(size_t)i].port);  // kept open, so that the ports stay reserved
      loopback_socket(&nodes[(size_t)i].peer_port);
      nodes[(size_t)i].store = serve([this, i](Request &r) { store.handle(i, r); });
    }
    for (int i = 0; i < s.nodes; i++) write_settings(i);
    step();
    check_ready();
  }
  void write_settings(int i) {
    auto text = [](int port) { return V("127.0.0.1:" + std::to_string(port)); };
    Controller &n = nodes[(size_t)i];
    V peers = V::list(), zones = V::list(), teams = V::list(), aims = V::list();
    for (int k = 0; k < site.nodes; k++)
      if (k != i)
        peers.add(V::map()
                      .set("host_name", "hand-" + std::to_string(k))
                      .set("location", site.node_zone[(size_t)k])
                      .set("address", text(nodes[(size_t)k].peer_port)));
    for (auto &z : site.zones) zones.add(z);
    for (auto &t : site.teams)
      teams.add(V::map()
                    .set("name", t.name)
                    .set("cpus", t.cpus)
                    .set("cpus_max", t.cpus_max)
                    .set("gpus", 0.0)
                    .set("gpus_max", 0.0));
    for (auto &a : site.aims) {
      V v = V::map().set("kind", a.kind);
      if (!a.cls.empty()) v.set("class", a.cls);
      if (a.within > 0) v.set("within_s", a.within);
      v.set("share", a.share);
      if (a.kind == "deadline") v.set("times", 1.0);
      aims.add(v);
    }
    V v = V::map();
    v.set("host_name", "hand-" + std::to_string(i))
        .set("location", site.node_zone[(size_t)i])
        .set("listen", text(n.port))
        .set("peer_listen", text(n.peer_port))
        .set("peers", peers);
    v.set("services", V::map().set("cloud", text(cloud->port)).set("state", text(n.store->port)));
    V c = V::map()
              .set("nodes", site.nodes)
              .set("zones", zones)
              .set("teams", teams)
              .set("objectives", aims);
    c.set("workers", V::map()
                         .set("report_s", site.report_s)
                         .set("lease_s", site.lease_s)
                         .set("gang_wait_s", 35.0)
                         .set("gang_peer_s", 8.0)
                         .set("cancel_s", site.cancel_s));
    c.set("state", V::map()
                       .set("rps", site.rps)
                       .set("write_rps", site.write_rps)
                       .set("value_kb", site.value_kb)
                       .set("txn_ops", site.txn_ops));
    c.set("cloud", V::map().set("rps", site.cloud_rps).set("list_lag_s", site.list_lag_s));
    c.set("quota", V::map()
                       .set("core_share", site.core_share)
                       .set("ram_mb", site.ram_mb)
                       .set("sockets", site.sockets_max))
        .set("clock_off_ms", 5.0);
    v.set("cluster", c);
    n.settings = folder + "/hand-" + std::to_string(i) + ".json";
    n.log = folder + "/hand-" + std::to_string(i) + ".log";
    FILE *f = fopen(n.settings.c_str(), "w");
    if (!f) exit(2);
    fputs(json(v).c_str(), f);
    fclose(f);
  }
  void start_node(int i) {
    Controller &n = nodes[(size_t)i];
    n.start_at = -1;
    n.starts++;
    n.pid = fork();
    if (n.pid) {
      record("controller hand-%d is started", i);
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    signal(SIGPIPE, SIG_DFL);
    int fd = ::open(n.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 2);
    dup2(fd, 1);
    std::vector<char *> argv;
    for (auto &a : command) argv.push_back(const_cast<char *>(a.c_str()));
    argv.push_back(const_cast<char *>(n.settings.c_str()));
    argv.push_back(nullptr);
    execvp(argv[0], argv.data());
    _exit(127);
  }
  void kill_node(int i, double back_s, const char *why) {
    Controller &n = nodes[(size_t)i];
    if (!n.pid) return;
    kill(n.pid, SIGKILL);
    waitpid(n.pid, nullptr, 0);
    n.pid = 0;
    n.start_at = back_s >= 0 ? now() + back_s : -1;
    record("controller hand-%d is killed: %s", i, why);
  }
  // The anonymous memory of the process; `peak`: the most that it ever held, from the kernel's own
  // record of the resident size less the pages of files.
  double memory_mb(int i, bool peak = false) {
    char path[64], line[256];
    double anonymous = 0, file = 0, highest = 0;
    snprintf(path, sizeof path, "/proc/%d/status", nodes[(size_t)i].pid);
    FILE *f = fopen(path, "r");
    while (f && fgets(line, sizeof line, f)) {
      if (!strncmp(line, "RssAnon:", 8)) anonymous = atof(line + 8) * 1024 / 1e6;
      if (!strncmp(line, "RssFile:", 8)) file = atof(line + 8) * 1024 / 1e6;
      if (!strncmp(line, "VmHWM:", 6)) highest = atof(line + 6) * 1024 / 1e6;
    }
    if (f) fclose(f);
    return peak ? std::max(anonymous, highest - file) : anonymous;
  }
  void check_ready() {
    for (int i = 0; i < site.nodes; i++) {
      call(nodes[(size_t)i].port, "GET", "/ready", V(), 1, [this, i](int status, const V &, int) {
        Controller &n = nodes[(size_t)i];
        if (status == 200) {
          n.bad = 0;
          if (++n.good >= 2 || n.unhealthy_since < -50) {
            if (!n.healthy && now() - n.unhealthy_since >= 3) {
              n.healthy = true;
              record("balancer: hand-%d is healthy", i);
            }
          }
        } else {
          n.good = 0;
          if (++n.bad >= 2 && n.healthy) {
            n.healthy = false;
            n.unhealthy_since = now();
            record("balancer: hand-%d is unhealthy", i);
          }
        }
      });
    }
    after(1, [this] { check_ready(); });
  }
  void step() {
    for (auto &p : machines)
      if (p.second.worker && !p.second.worker->dead) p.second.worker->step();
    for (int i = 0; i < site.nodes; i++) {
      Controller &n = nodes[(size_t)i];
      if (n.pid) {
        int st;
        double mb = memory_mb(i, true);
        n.peak_mb = std::max(n.peak_mb, mb);
        if (waitpid(n.pid, &st, WNOHANG) == n.pid) {
          record("controller hand-%d ended by itself (status %d)", i, st);
          n.pid = 0;
          n.self_ends++;
          n.start_at = now() + site.back_s;
        } else if (memory_enforced && mb > site.ram_mb) {
          n.memory_kills++;
          char why[80];
          snprintf(why, sizeof why, "memory %.0f MB, limit %.0f MB", mb, site.ram_mb);
          kill_node(i, site.back_s, why);
        }
      } else if (n.start_at >= 0 && now() >= n.start_at)
        start_node(i);
    }
    after(0.02, [this] { step(); });
  }
  void close_down() {
    for (int i = 0; i < site.nodes; i++)
      if (nodes[(size_t)i].pid) {
        kill(nodes[(size_t)i].pid, SIGKILL);
        waitpid(nodes[(size_t)i].pid, nullptr, 0);
        nodes[(size_t)i].pid = 0;
      }
  }

  // ---- users: the balancer chooses a healthy node, and tries up to three
  void user_call(const char *method, const std::string &path, const V &body, double timeout,
                 Callback cb, int tries = 3) {
    std::vector<int> ok;
    for (int i = 0; i < site.nodes; i++)
      if (nodes[(size_t)i].healthy) ok.push_back(i);
    if (ok.empty()) {
      after(0.05, [cb] { cb(-1, V(), 0); });
      return;
    }
    int i = ok[(size_t)(uniform() * (double)ok.size())];
    std::string m = method;
    call(nodes[(size_t)i].port, method, path, body, timeout,
         [this, m, path, body, timeout, cb, tries](int status, const V &v, int retry) {
           if (status == -1 && tries > 1) {
             user_call(m.c_str(), path, body, timeout, cb, tries - 1);
             return;
           }
           cb(status, v, retry);
         });
  }
  Job &submit(const Job &j) {
    Job &job = jobs[j.id] = j;
    job.submitted = true;
    job.submitted_at = now();
    attempt(j.id);
    return job;
  }
  void attempt(const std::string &id) {
    user_call("POST", "/v2/runs", jobs[id].encode(), 5,
              [this, id](int status, const V &v, int retry) {
                Job &j = jobs[id];
                record("user: POST %s -> %d %s", id.c_str(), status, v.text("standing").c_str());
                if (status == 200 || status == 201) {
                  j.accepted = true;
                  j.accepted_at = now();
                  answer(j, v);
                  after(5 * uniform(), [this, id] { poll(id); });
                  return;
                }
                if (status == 400 || status == 422) return;
                if (now() - j.submitted_at < 60)
                  after(std::max(1.0, (double)retry), [this, id] { attempt(id); });
              });
  }
  void answer(Job &j, const V &v) {
    std::string s = v.text("standing");
    j.last_answer_at = now();
    if (s != j.last_standing)
      record("user: %s is %s (done %llu, running %llu)", j.id.c_str(), s.c_str(),
             (unsigned long long)v.num("done"), (unsigned long long)v.num("running"));
    if (j.done && s != "done") violation("went_back: " + j.id + " was done and is " + s);
    if (j.withdrawn && s != "withdrawn")
      violation("went_back: " + j.id + " was withdrawn and is " + s);
    if (s == "withdrawn" && !j.withdraw_asked)
      violation("went_back: " + j.id + " is withdrawn, its user did not ask");
    if (s == "done" && !j.done) {
      j.done = true;
      j.done_at = now();
    }
    if (s == "withdrawn" && !j.withdrawn) {
      j.withdrawn = true;
      j.withdrawn_at = now();
    }
    j.last_standing = s;
  }
  void poll(const std::string &id, bool forever = false) {
    user_call("GET", "/v2/runs/" + id, V(), 2, [this, id, forever](int status, const V &v, int) {
      Job &j = jobs[id];
      j.polls++;
      if (status == 200)
        answer(j, v);
      else {
        j.poll_failures++;
        record("user: GET %s -> %d", id.c_str(), status);
      }
      if (status == 404) {
        j.answers_404++;
        violation("forgotten: " + id + " was accepted and is answered 404");
      }
      if (forever || !(j.done || j.withdrawn))
        after(4.5 + uniform(), [this, id, forever] { poll(id, forever); });
    });
  }
  void withdraw(const std::string &id) {
    jobs[id].withdraw_asked = true;
    user_call("POST", "/v2/runs/" + id + "/withdraw", V::map(), 5,
              [this, id](int status, const V &v, int retry) {
                record("user: withdraw %s -> %d %s", id.c_str(), status,
                       v.text("standing").c_str());
                if (status == 200) {
                  answer(jobs[id], v);
                  return;
                }
                after(std::max(1.0, (double)retry), [this, id] { withdraw(id); });
              });
  }
};

// ---------------------------------------------------------------- worker
inline void Worker::kill_all(const char *why) {
  for (auto &l : loads)
    if (l.standing == "running" || l.standing == "saving") w->ends(*this, l, why);
  loads.clear();
}
inline void Worker::execute(const V *orders) {
  if (!orders) return;
  for (auto &o : orders->a) {
    std::string verb = o.text("verb"), name = o.text("load");
    uint64_t attempt = o.num("try");
    size_t i = 0;
    while (i < loads.size() && (loads[i].load != name || loads[i].attempt != attempt)) i++;
    bool held = i < loads.size();
    if (verb == "reap") {
      if (held && loads[i].standing == "ended") loads.erase(loads.begin() + (long)i);
      continue;
    }
    if (verb == "halt") {
      if (!held || loads[i].standing == "ended") continue;
      Load &l = loads[i];
      auto it = w->jobs.find(l.job);
      changed = true;
      if (l.standing == "running" && it != w->jobs.end() && it->second.tally > 0 &&
          o.real("wind_s") >= it->second.stow) {
        l.standing = "saving";
        l.until = now() + it->second.stow;
        continue;
      }
      if (l.standing == "saving" && o.real("wind_s") > 0) continue;
      if (l.standing != "pulling") w->ends(*this, l, "stopped");
      l.standing = "ended";
      l.cause = "stopped";
      l.until = 1e18;
      continue;
    }
    if (verb != "start" || held) continue;
    changed = true;
    size_t slash = name.rfind('/');
    Load l{name,
           name.substr(0, slash),
           strtoull(name.c_str() + slash + 1, nullptr, 10),
           attempt,
           "pulling",
           "",
           false,
           1e18};
    auto it = w->jobs.find(l.job);
    auto refuse = [&](const char *cause) {
      l.standing = "ended";
      l.cause = cause;
    };
    double c = 0, m = 0;
    bool other = false;
    for (auto &x : loads)
      if (x.standing != "ended") {
        if (x.load == name) other = true;
        auto k = w->jobs.find(x.job);
        if (k != w->jobs.end()) {
          c += k->second.cpus;
          m += k->second.mem;
        }
      }
    if (it == w->jobs.end() || l.index >= it->second.tasks)
      refuse("no_such");
    else if (other)
      refuse("busy");
    else if (c + it->second.cpus > cpus + 1e-6 || m + it->second.mem > mem + 1e-6)
      refuse("no_room");
    else
      l.until = now() + (images.count(it->second.kit) ? 0 : it->second.image_gb / fetch);
    loads.push_back(l);
  }
}
inline void Worker::step() {
  if (hung) return;
  double t = now();
  for (auto &l : loads) {
    if (l.until > t) continue;
    auto it = w->jobs.find(l.job);
    changed = true;
    if (l.standing == "pulling") {
      l.standing = "running";
      images.insert(it->second.kit);
      l.until = it->second.sort == "service" ? 1e18 : t + it->second.run_s;
      w->begins(*this, l);
    } else if (l.standing == "running") {
      l.standing = "ended";
      l.cause = it->second.mistake ? "error" : "done";
      l.until = 1e18;
      w->ends(*this, l, l.cause.c_str());
    } else if (l.standing == "saving") {
      l.standing = "ended";
      l.cause = "stopped";
      l.saved = true;
      l.until = 1e18;
      w->ends(*this, l, "stopped, saved");
    }
  }
  if (t - answered_sent > w->site.lease_s) {
    record("worker %s: the lease ends, %zu loads are killed", id.c_str(), loads.size());
    kill_all("lease");
    shift++;
    answered_sent = t;
  }
  if (busy) return;
  if (t >= next_at || (changed && t - last_sent >= 0.5)) {
    if (t - last_sent >= 0.5) send_report();
  }
}
inline void Worker::send_report() {
  busy = true;
  changed = false;
  last_sent = now();
  next_at = last_sent + w->site.report_s * (0.75 + 0.5 * uniform());
  double sent = last_sent;
  uint64_t session = shift;
  V v = report();
  largest_report = std::max(largest_report, json(v).size());
  size_t bytes = cbor(v).size();
  std::weak_ptr<Worker> weak = w->machines[id].worker;
  call(w->nodes[(size_t)node].port, "POST", "/hello", v, 4,
       [weak, sent, session, bytes](int status, const V &r, int) {
         auto k = weak.lock();
         if (!k || k->dead) return;
         k->busy = false;
         if (k->hung) return;
         if (status != k->last_status && status != 200 && status != 421)
           record("worker %s: report of %zu loads, %zu bytes -> %d", k->id.c_str(), k->loads.size(),
                  bytes, status);
         k->last_status = status;
         if (status != 200 && status != 421) {
           k->node = (k->node + 1) % k->w->site.nodes;
           k->next_at = now() + 1;
           k->changed = false;
           return;
         }
         if (status == 421) {
           std::string f = r.text("foreman");
           int n = f.size() > 5 ? atoi(f.c_str() + 5) : -1;
           if (n < 0 || n == k->node || n >= k->w->site.nodes) {
             k->node = (k->node + 1) % k->w->site.nodes;
             k->next_at = now() + 1;
             k->changed = false;
           } else {
             k->node = n;
             k->next_at = now() + 0.1;
             k->last_sent = now() - 0.5;
           }
           return;
         }
         uint64_t b = r.num("baton");
         if (session != k->shift || b < k->baton) return;
         if (b > k->baton) {
           k->baton = b;
           k->changed = true;
         }
         k->answered_sent = sent;
         k->execute(r.get("orders"));
       });
}

// ---------------------------------------------------------------- a case
// main() of a case: CASE RECORD FOLDER TROUBLE COMMAND...
struct Case {
  World w;
  bool trouble = true;
  Case(int argc, char **argv, const Site &site) {
    if (argc < 5) {
      fprintf(stderr, "usage: case RECORD FOLDER TROUBLE COMMAND...\n");
      exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    auto stop = [](int) { stop_requested = true; };
    signal(SIGTERM, stop);
    signal(SIGINT, stop);
    record_file = fopen(argv[1], "w");
    if (!record_file) exit(2);
    trouble = strcmp(argv[3], "0") != 0;
    record("trouble: %s", trouble ? "yes" : "no");
    w.open(site, argv[2], std::vector<std::string>(argv + 4, argv + argc));
  }
  void start_all() {
    for (int i = 0; i < w.site.nodes; i++) w.start_node(i);
  }
  bool all_healthy() const {
    for (auto &n : w.nodes)
      if (!n.healthy) return false;
    return true;
  }
  [[noreturn]] void finish(int code, const std::string &text) {
    record("result: %s", text.c_str());
    printf("%s: %s\n", code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run", text.c_str());
    w.close_down();
    fclose(record_file);
    exit(code);
  }
};
