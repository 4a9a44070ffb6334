// Package suspect tells apart the requests that end the endpoints that run them.
package suspect
