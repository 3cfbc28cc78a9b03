#include "raw_client.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int raw_connect(const char *address) {
  struct sockaddr_in socket_address;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_true(fd >= 0);
  assert_true(tmx_parse_address(address, &socket_address));
  assert_int_equal(connect(fd, (struct sockaddr *)&socket_address, sizeof socket_address), 0);
  return fd;
}

void raw_send(int fd, const uint8_t *bytes, size_t length) {
  for (size_t sent = 0; sent < length;) {
    ssize_t written = send(fd, bytes + sent, length - sent, MSG_NOSIGNAL);
    if (written <= 0) return; /* the peer closed the connection */
    sent += (size_t)written;
  }
}

ssize_t raw_receive(int fd, uint8_t *buffer, size_t capacity) {
  ssize_t length;
  do length = recv(fd, buffer, capacity, MSG_DONTWAIT);
  while (length < 0 && errno == EINTR);
  return length < 0 && errno == EAGAIN ? -1 : length < 0 ? 0 : length;
}

void exchange_free(struct exchange *exchange) {
  tmx_buffer_free(&exchange->request);
  tmx_buffer_free(&exchange->response);
}

bool http_message_is_complete(const struct tmx_buffer *message) {
  const char *body = message->length ? memmem(message->data, message->length, "\r\n\r\n", 4) : NULL;
  const char *length =
      message->length ? memmem(message->data, message->length, "Content-Length: ", 16) : NULL;
  if (!body || !length) return false;
  return message->length ==
         (size_t)(body + 4 - (const char *)message->data) + strtoul(length + 16, NULL, 10);
}

struct raw_connection {
  int fd;
  ev_io readable;
  struct tmx_buffer *response;
  bool closed;
};

static void on_response_readable(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  static uint8_t received[65536];
  struct raw_connection *connection = watcher->data;
  ssize_t length = raw_receive(connection->fd, received, sizeof received);
  if (length < 0) return;
  if (length)
    tmx_buffer_append(connection->response, received, (size_t)length);
  else
    connection->closed = true;
}

static bool response_ended(void *arg) {
  struct raw_connection *connection = arg;
  return connection->closed || http_message_is_complete(connection->response);
}

void raw_call(const char *address, const void *request, size_t length,
              struct tmx_buffer *response) {
  struct raw_connection connection = {.fd = raw_connect(address), .response = response};
  ev_io_init(&connection.readable, on_response_readable, connection.fd, EV_READ);
  connection.readable.data = &connection;
  ev_io_start(test_loop, &connection.readable);
  raw_send(connection.fd, request, length);
  assert_true(run_loop_until(response_ended, &connection));
  ev_io_stop(test_loop, &connection.readable);
  close(connection.fd);
  assert_true(http_message_is_complete(response));
}

void raw_request(const char *address, const char *line, const struct tmx_buffer *body,
                 struct exchange *out) {
  char head[512];
  int head_length =
      snprintf(head, sizeof head, "%s HTTP/1.1\r\nHost: tallymux\r\nContent-Length: %zu\r\n\r\n",
               line, body ? body->length : 0);
  memset(out, 0, sizeof *out);
  tmx_buffer_append(&out->request, head, (size_t)head_length);
  if (body && body->length) tmx_buffer_append(&out->request, body->data, body->length);
  raw_call(address, out->request.data, out->request.length, &out->response);
}
