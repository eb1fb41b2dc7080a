//! Client of the platform: objects, instance list, weight store.
