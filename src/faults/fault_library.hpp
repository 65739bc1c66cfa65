#pragma once

// For tests that are linked with the fault library: single system calls of this process that fail.
namespace calicograde::faults {

// The next `times` calls of that name, on any thread, fail with `error` (an errno value) and have no effect
// (but for a connect that is interrupted, which goes on).
// Known names: poll, epoll_wait, epoll_ctl, socket, accept4, connect, recv, send, read, write, fsync,
// fdatasync, renameat, rename, opendir.
void fail_next(const char* call, int error, int times);
// The next call of that name takes so much longer, as where its thread is not scheduled. Held up can be:
// close.
void hold_up_next(const char* call, int milliseconds);
// Calls of that name that are held up at this moment.
int calls_held_up(const char* call);
// How often it was called since the process started, failing calls included.
int calls_made(const char* call);

}  // namespace calicograde::faults
