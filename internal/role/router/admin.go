package router

import "net/http"

// adminHandler returns the handler of the administration API.
func (ro *Router) adminHandler() http.Handler { return http.NotFoundHandler() }
