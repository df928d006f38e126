#ifndef PERSIMMONPOINT_OBSERVE_THREAD_NAME_HPP_INCLUDED
#define PERSIMMONPOINT_OBSERVE_THREAD_NAME_HPP_INCLUDED

#include <pthread.h>

namespace persimmonpoint::observe {

/// Names the calling thread for tools and benches; at most 15 characters.
inline void name_this_thread(char const* name) {
    pthread_setname_np(pthread_self(), name);
}

} // namespace persimmonpoint::observe

#endif // PERSIMMONPOINT_OBSERVE_THREAD_NAME_HPP_INCLUDED
