#include <stdio.h>
#include <string.h>

#include "link_private.h"

static const char *const hello_label = "bilberry hello 1";
static const char *const welcome_label = "bilberry welcome 1";

static bt_handshake_end_t
get_own_end (const bt_link_t *link)
{
  const bt_link_options_t *options = &link->loop->options;
  bt_handshake_end_t end = { options->role, options->instance, options->incarnation };

  return end;
}

static bt_handshake_end_t
get_peer_end (const bt_link_t *link)
{
  bt_handshake_end_t end = { link->role, link->instance, link->incarnation };

  return end;
}

static bool
copy_valid_name (char *target, size_t bytes, const char *name)
{
  if (name[0] == '\0' || strlen (name) >= bytes)
    return false;
  snprintf (target, bytes, "%s", name);
  return true;
}

void
bt_send_challenge (bt_link_t *link)
{
  const bt_link_options_t *options = &link->loop->options;
  Bilberry__Challenge challenge = BILBERRY__CHALLENGE__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  challenge.instance = (char *)options->instance;
  challenge.incarnation = options->incarnation;
  challenge.role = (char *)options->role;
  challenge.nonce.data = link->nonce;
  challenge.nonce.len = sizeof link->nonce;
  frame.body_case = BILBERRY__FRAME__BODY_CHALLENGE;
  frame.challenge = &challenge;
  bt_send_frame (link->loop->ctx, link, &frame);
}

static bool
send_hello (bt_link_t *link, const uint8_t *peer_nonce)
{
  const bt_link_options_t *options = &link->loop->options;
  Bilberry__Hello hello = BILBERRY__HELLO__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  uint8_t proof[BT_PROOF_BYTES];
  bt_handshake_end_t own = get_own_end (link);
  bt_handshake_end_t peer = get_peer_end (link);

  bt_make_proof (options->secret, hello_label, peer_nonce, &own, &peer, proof);
  hello.role = (char *)options->role;
  hello.instance = (char *)options->instance;
  hello.incarnation = options->incarnation;
  hello.failure_domain = (char *)options->failure_domain;
  hello.address = (char *)options->address;
  hello.target_instance = link->target;
  hello.proof.data = proof;
  hello.proof.len = sizeof proof;
  hello.nonce.data = link->nonce;
  hello.nonce.len = sizeof link->nonce;
  frame.body_case = BILBERRY__FRAME__BODY_HELLO;
  frame.hello = &hello;
  return bt_send_frame (link->loop->ctx, link, &frame);
}

static bool
handle_challenge (bt_link_t *link, const Bilberry__Challenge *challenge, bt_error_t *error)
{
  if (!copy_valid_name (link->instance, sizeof link->instance, challenge->instance)
      || !copy_valid_name (link->role, sizeof link->role, challenge->role)
      || challenge->nonce.len != BT_NONCE_BYTES)
    return bt_set_error (error, BT_ERROR_FORMAT, "The challenge is malformed.");
  link->incarnation = challenge->incarnation;
  /* Addresses are reused when instances are replaced. Without this check a dispatch for one
   * endpoint would reach whichever process now listens at its address. */
  if (strcmp (link->instance, link->target) != 0)
    return bt_set_error (error, BT_ERROR_REFUSED, "Dialled %s but reached %s.", link->target,
                         link->instance);
  link->state = BT_LINK_AWAIT_WELCOME;
  if (!send_hello (link, challenge->nonce.data))
    return bt_set_error (error, BT_ERROR_CLOSED,
                         "The peer closed the connection during the handshake.");
  return true;
}

static bool
send_welcome (bt_link_t *link, const uint8_t *peer_nonce)
{
  const bt_link_options_t *options = &link->loop->options;
  Bilberry__Welcome welcome = BILBERRY__WELCOME__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  uint8_t proof[BT_PROOF_BYTES];
  bt_handshake_end_t own = get_own_end (link);
  bt_handshake_end_t peer = get_peer_end (link);

  bt_make_proof (options->secret, welcome_label, peer_nonce, &own, &peer, proof);
  welcome.proof.data = proof;
  welcome.proof.len = sizeof proof;
  welcome.failure_domain = (char *)options->failure_domain;
  frame.body_case = BILBERRY__FRAME__BODY_WELCOME;
  frame.welcome = &welcome;
  return bt_send_frame (link->loop->ctx, link, &frame);
}

static bool
handle_hello (bt_link_t *link, const Bilberry__Hello *hello, bt_error_t *error)
{
  const bt_link_options_t *options = &link->loop->options;
  bt_handshake_end_t own = get_own_end (link);
  bt_handshake_end_t peer;

  if (!copy_valid_name (link->instance, sizeof link->instance, hello->instance)
      || !copy_valid_name (link->role, sizeof link->role, hello->role)
      || hello->nonce.len != BT_NONCE_BYTES || strlen (hello->failure_domain) >= BT_NAME_BYTES)
    return bt_set_error (error, BT_ERROR_FORMAT, "The hello is malformed.");
  link->incarnation = hello->incarnation;
  peer = get_peer_end (link);
  if (!bt_check_proof (options->secret, hello_label, link->nonce, &peer, &own, hello->proof.data,
                       hello->proof.len))
    return bt_set_error (error, BT_ERROR_REFUSED, "%s sent an invalid proof of the shared secret.",
                         link->instance);
  if (strcmp (hello->target_instance, options->instance) != 0)
    return bt_set_error (error, BT_ERROR_REFUSED, "%s tried to reach %s.", link->instance,
                         hello->target_instance);
  bt_copy_name (link->failure_domain, hello->failure_domain);
  if (!send_welcome (link, hello->nonce.data))
    return bt_set_error (error, BT_ERROR_CLOSED,
                         "The peer closed the connection during the handshake.");
  link->state = BT_LINK_UP;
  return true;
}

static bool
handle_welcome (bt_link_t *link, const Bilberry__Welcome *welcome, bt_error_t *error)
{
  bt_handshake_end_t own = get_own_end (link);
  bt_handshake_end_t peer = get_peer_end (link);

  if (!bt_check_proof (link->loop->options.secret, welcome_label, link->nonce, &peer, &own,
                       welcome->proof.data, welcome->proof.len))
    return bt_set_error (error, BT_ERROR_REFUSED, "%s sent an invalid proof of the shared secret.",
                         link->instance);
  if (strlen (welcome->failure_domain) >= BT_NAME_BYTES)
    return bt_set_error (error, BT_ERROR_FORMAT, "The welcome is malformed.");
  bt_copy_name (link->failure_domain, welcome->failure_domain);
  link->state = BT_LINK_UP;
  return true;
}

bool
bt_handle_handshake_frame (bt_link_t *link, const bt_frame_t *frame, bt_error_t *error)
{
  if (link->state == BT_LINK_AWAIT_CHALLENGE && frame->body_case == BILBERRY__FRAME__BODY_CHALLENGE)
    return handle_challenge (link, frame->challenge, error);
  if (link->state == BT_LINK_AWAIT_HELLO && frame->body_case == BILBERRY__FRAME__BODY_HELLO)
    return handle_hello (link, frame->hello, error);
  if (link->state == BT_LINK_AWAIT_WELCOME && frame->body_case == BILBERRY__FRAME__BODY_WELCOME)
    return handle_welcome (link, frame->welcome, error);
  return bt_set_error (error, BT_ERROR_FORMAT, "A frame was out of order in the handshake.");
}
