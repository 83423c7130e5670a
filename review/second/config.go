package main

import "fmt"

type object = map[string]any

// host is the host that the routes name.
const host = "hulo84.example"

func routeItem(name, host, prefix, kind, service string, timeout, target, attempts int) object {
	return object{"resourceType": "routes", "metadata": object{"name": name}, "spec": object{
		"hostname": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": target,
		"priority": 1, "service": service, "maxAttempts": attempts,
	}}
}

func serviceItem(name string) object {
	return object{"resourceType": "services", "metadata": object{"name": name}, "spec": object{
		"healthPath": "/healthz", "maxConnections": 491, "protocol": "h1", "tls": false,
	}}
}

func limitsItem() object {
	return object{"resourceType": "limits", "metadata": object{}, "spec": object{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
}

func config(version int, items ...object) object {
	return object{"version": fmt.Sprintf("%08x", version), "resources": append(items, limitsItem())}
}
